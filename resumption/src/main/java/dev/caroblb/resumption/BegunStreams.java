package dev.caroblb.resumption;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** What began the streams of recent attempts, in bounded memory; the oldest go first. */
public final class BegunStreams {
  /** Maximum number of streams; some 10 MB. */
  static final int MAX_STREAMS = 65_536;

  /** Maximum time in milliseconds for which a record is kept. */
  public static final long MAX_KEEP_MS = 120_000;

  /** Bounds the time that a page takes when few of the records are wanted. */
  private static final int MAX_EXAMINED = 256;

  private static final long EXPIRE_INTERVAL_MS = 1_000;

  private record Begun(long number, StreamOrigin origin, long untilMs) {}

  /** Origins are few: streams share one instance of each. */
  private final Map<StreamOrigin, StreamOrigin> origins = new HashMap<>();

  private final Map<String, Begun> streams =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Begun> eldest) {
          return size() > MAX_STREAMS;
        }
      };
  private long expireMs = Long.MIN_VALUE;
  private long lastNumber;

  /** Records a stream; the first record of an attempt counts. Returns whether it is this one. */
  public boolean began(String attempt, StreamOrigin origin, long keepMs, long nowMs) {
    expire(nowMs);
    StreamOrigin shared = origins.computeIfAbsent(origin, same -> same);
    long untilMs = nowMs + Math.min(keepMs, MAX_KEEP_MS);
    return streams.putIfAbsent(attempt, new Begun(++lastNumber, shared, untilMs)) == null;
  }

  /** What began the stream of an attempt; empty if it is not known. */
  public Optional<StreamOrigin> origin(String attempt, long nowMs) {
    return Optional.ofNullable(streams.get(attempt))
        .filter(begun -> nowMs < begun.untilMs())
        .map(Begun::origin);
  }

  /**
   * The next records of the wanted attempts, in the order in which they were added.
   *
   * @param after number of the last record of the page before; 0 for the first page
   */
  PeerMessage.RecordsPage page(long after, Predicate<String> wanted, long nowMs) {
    List<PeerMessage.StreamBegan> page = new ArrayList<>();
    long next = after;
    int examined = 0;
    for (Map.Entry<String, Begun> stream : streams.entrySet()) {
      Begun begun = stream.getValue();
      if (begun.number() <= after) {
        continue;
      }
      if (page.size() == PeerMessage.RecordsPage.MAX_RECORDS || examined == MAX_EXAMINED) {
        return new PeerMessage.RecordsPage(after, next, false, page);
      }
      examined++;
      next = begun.number();
      if (nowMs < begun.untilMs() && wanted.test(stream.getKey())) {
        page.add(
            new PeerMessage.StreamBegan(stream.getKey(), begun.origin(), begun.untilMs() - nowMs));
      }
    }
    return new PeerMessage.RecordsPage(after, next, true, page);
  }

  int size() {
    return streams.size();
  }

  private void expire(long nowMs) {
    if (nowMs < expireMs) {
      return;
    }
    expireMs = nowMs + EXPIRE_INTERVAL_MS;
    for (Iterator<Begun> all = streams.values().iterator(); all.hasNext(); ) {
      if (nowMs >= all.next().untilMs()) {
        all.remove();
      }
    }
    origins.clear();
  }
}
