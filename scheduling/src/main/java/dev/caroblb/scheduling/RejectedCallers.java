package dev.caroblb.scheduling;

import dev.caroblb.targets.PlacementNeed;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Callers that were rejected and told when to return. One that returns then keeps the place of its
 * first arrival; one that returns earlier gains nothing. Requests without a fingerprint, or with
 * one that several callers use, are not remembered.
 */
final class RejectedCallers {
  /** Maximum number of callers; the one rejected first is forgotten. Some 2 MB. */
  static final int MAX_CALLERS = 8_192;

  /** Time in milliseconds after its return time for which a caller is remembered. */
  private static final long KEEP_MS = 10_000;

  /** A caller that returns this much early, in milliseconds, is taken as on time. */
  private static final long EARLY_TOLERANCE_MS = 20;

  /**
   * Number of repetitions up to which a caller keeps its place. Callers that wait return once;
   * without a limit, those that repeat every 50 ms were served more often.
   */
  private static final int MAX_REPEATS = 2;

  private record Caller(String workspace, String fingerprint) {}

  /**
   * What is remembered of a caller.
   *
   * @param firstArrivalMs time of its first attempt
   * @param startTag virtual start tag of its first attempt
   * @param returnMs time at which it was told to return
   * @param repeats number of times that it came back before
   */
  record Rejection(long firstArrivalMs, double startTag, long returnMs, int repeats) {
    Rejection repeated() {
      return new Rejection(firstArrivalMs, startTag, returnMs, repeats + 1);
    }

    /** Whether it repeats often, so that it gets what others leave. */
    boolean persistent() {
      return repeats > MAX_REPEATS;
    }

    boolean early(long nowMs) {
      return nowMs < returnMs - EARLY_TOLERANCE_MS;
    }
  }

  private final CommonRequests<Caller> common = new CommonRequests<>();
  private final Map<Caller, Rejection> rejections =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Caller, Rejection> eldest) {
          return size() > MAX_CALLERS;
        }
      };

  private static Optional<Caller> caller(PlacementNeed need) {
    return need.fingerprint().map(text -> new Caller(need.workspace().orElse(""), text));
  }

  Optional<Rejection> find(PlacementNeed need, long nowMs) {
    return caller(need)
        .filter(caller -> !common.contains(caller, nowMs))
        .map(rejections::get)
        .filter(rejection -> nowMs < rejection.returnMs() + KEEP_MS);
  }

  void remember(PlacementNeed need, Rejection rejection) {
    caller(need)
        .ifPresent(
            caller -> {
              common.rejected(caller);
              rejections.remove(caller);
              rejections.put(caller, rejection);
            });
  }

  /** Forgets the rejection of a caller whose request was placed or queued when it arrived. */
  void accepted(PlacementNeed need, long nowMs) {
    caller(need).ifPresent(rejections::remove);
    // An entry asks again for a request that failed at its target or at another coordinator.
    if (need.sinceArrivalMs() == 0) {
      caller(need).ifPresent(caller -> common.accepted(caller, nowMs));
    }
  }

  void expire(long nowMs) {
    common.expire(nowMs);
    rejections.values().removeIf(rejection -> nowMs >= rejection.returnMs() + KEEP_MS);
  }

  int size() {
    return rejections.size();
  }
}
