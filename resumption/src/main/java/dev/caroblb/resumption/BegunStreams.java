package dev.caroblb.resumption;

import dev.caroblb.core.SoftwareVersion;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** Versions that began the streams of recent attempts, in bounded memory; the oldest go first. */
public final class BegunStreams {
  /** Maximum number of streams; some 10 MB. */
  static final int MAX_STREAMS = 65_536;

  private static final long MAX_KEEP_MS = 120_000;
  private static final long EXPIRE_INTERVAL_MS = 1_000;

  private record Begun(SoftwareVersion version, long untilMs) {}

  /** Versions are few: streams share one instance of each. */
  private final Map<SoftwareVersion, SoftwareVersion> versions = new HashMap<>();

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
  public void began(String attempt, SoftwareVersion version, long keepMs, long nowMs) {
    expire(nowMs);
    SoftwareVersion shared = versions.computeIfAbsent(version, same -> same);
    long untilMs = nowMs + Math.min(keepMs, MAX_KEEP_MS);
    streams.putIfAbsent(attempt, new Begun(shared, untilMs));
  }

  /** The version that began the stream of an attempt; empty if it is not known. */
  public Optional<SoftwareVersion> version(String attempt, long nowMs) {
    return Optional.ofNullable(streams.get(attempt))
        .filter(begun -> nowMs < begun.untilMs())
        .map(Begun::version);
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
    versions.clear();
  }
}
