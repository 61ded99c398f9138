package dev.caroblb.http;

import dev.caroblb.core.MillisClock;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Bodies of which a part has arrived, ordered by their last progress. When memory or places are
 * short, the body that has made no progress for longest is given up; while there is room, a body
 * may take any time.
 */
final class BegunBodies {
  /** A body that got fewer bytes than {@link #PROGRESS_BYTES} in this time may be given up. */
  static final long STALL_MS = 2_000;

  /** Fewer bytes are no progress: a client could hold memory with a byte from time to time. */
  static final int PROGRESS_BYTES = 4_096;

  private final MillisClock clock;
  private final int maxBodies;

  /** Times of the last progress; the first body has waited for longest. */
  private final Map<RequestBody, Long> progressMs = new LinkedHashMap<>();

  BegunBodies(MillisClock clock, int maxBodies) {
    this.clock = clock;
    this.maxBodies = maxBodies;
  }

  /** Adds a body, or notes its progress. */
  synchronized void progressed(RequestBody body) {
    progressMs.remove(body);
    progressMs.put(body, clock.nowMs());
  }

  synchronized void remove(RequestBody body) {
    progressMs.remove(body);
  }

  synchronized boolean full() {
    return progressMs.size() >= maxBodies;
  }

  /** Removes and returns the body that has stalled for longest. */
  synchronized Optional<RequestBody> takeStalled() {
    Iterator<Map.Entry<RequestBody, Long>> oldest = progressMs.entrySet().iterator();
    if (!oldest.hasNext()) {
      return Optional.empty();
    }
    Map.Entry<RequestBody, Long> candidate = oldest.next();
    if (clock.nowMs() - candidate.getValue() < STALL_MS) {
      return Optional.empty();
    }
    oldest.remove();
    return Optional.of(candidate.getKey());
  }
}
