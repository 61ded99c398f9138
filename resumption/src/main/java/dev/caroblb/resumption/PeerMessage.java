package dev.caroblb.resumption;

import dev.caroblb.core.SoftwareVersion;
import java.util.Optional;

/** Messages between entries and control instances about begun streams. */
public sealed interface PeerMessage {
  /** Maximum length in bytes of the name of an attempt; longer ones are not recorded. */
  int MAX_ATTEMPT_BYTES = 128;

  /**
   * A caller is about to get the first event of a stream.
   *
   * @param attempt name of the caller's attempt
   * @param version software version of the target that began the stream
   * @param keepMs time in milliseconds for which the caller may take the stream up
   */
  record StreamBegan(String attempt, SoftwareVersion version, long keepMs) implements PeerMessage {}

  /** Asks for the version that began the stream of an attempt. */
  record OriginQuery(String attempt) implements PeerMessage {}

  /** Reply to a query; without a version if the attempt is not known. */
  record OriginReply(String attempt, Optional<SoftwareVersion> version) implements PeerMessage {}
}
