package dev.caroblb.resumption;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** What began the streams of recent attempts, in bounded memory; the oldest go first. */
public final class BegunStreams {
  /** Maximum number of streams; some 10 MB. */
  static final int MAX_STREAMS = 65_536;

  private static final long MAX_KEEP_MS = 120_000;
  private static final long EXPIRE_INTERVAL_MS = 1_000;

  private record Begun(StreamOrigin origin, long untilMs) {}

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

  /** Records a stream; the first record of an attempt counts. */
  public void began(String attempt, StreamOrigin origin, long keepMs, long nowMs) {
    expire(nowMs);
    StreamOrigin shared = origins.computeIfAbsent(origin, same -> same);
    long untilMs = nowMs + Math.min(keepMs, MAX_KEEP_MS);
    streams.putIfAbsent(attempt, new Begun(shared, untilMs));
  }

  /** What began the stream of an attempt; empty if it is not known. */
  public Optional<StreamOrigin> origin(String attempt, long nowMs) {
    return Optional.ofNullable(streams.get(attempt))
        .filter(begun -> nowMs < begun.untilMs())
        .map(Begun::origin);
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
