package dev.caroblb.resumption;

import java.util.List;
import java.util.Optional;

/** Messages between entries and control instances about begun streams. */
public sealed interface PeerMessage {
  /** Maximum length in bytes of the name of an attempt; longer ones are not recorded. */
  int MAX_ATTEMPT_BYTES = 128;

  /**
   * A caller is about to get the first event of a stream.
   *
   * @param attempt name of the caller's attempt
   * @param origin what begins the stream
   * @param keepMs time in milliseconds for which the caller may take the stream up
   */
  record StreamBegan(String attempt, StreamOrigin origin, long keepMs) implements PeerMessage {}

  /** Asks what began the stream of an attempt. */
  record OriginQuery(String attempt) implements PeerMessage {}

  /** Reply to a query; without an origin if the attempt is not known. */
  record OriginReply(String attempt, Optional<StreamOrigin> origin) implements PeerMessage {}

  /**
   * Asks an entry for the streams that it has begun and that this control instance is to know.
   *
   * @param after number of the last record that the control instance has got from it; 0 for none
   */
  record RecordsRequest(long after) implements PeerMessage {}

  /**
   * Reply to {@link RecordsRequest}.
   *
   * @param after number in the request
   * @param next number for the next request
   * @param last whether there are no more records
   */
  record RecordsPage(long after, long next, boolean last, List<StreamBegan> records)
      implements PeerMessage {
    /** Maximum number of records in a page; some 5 KB. */
    public static final int MAX_RECORDS = 64;

    public RecordsPage {
      records = List.copyOf(records);
    }
  }
}
