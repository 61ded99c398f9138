package dev.caroblb.forwarding.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the parts that explain the crashes of engines. A part that crashes engines is a suspect of
 * each such crash and is never answered; the parts that it shares requests with are answered in
 * other requests, which clears them. The part that explains most crashes is found first, and the
 * crashes that it explains are not counted for the others.
 */
final class CulpritFinder {
  /** Number of crashes that convict a part. */
  static final int CONVICTING_CRASHES = 3;

  /** Number of crashes that convict parts that cannot be told apart and were answered before. */
  private static final int CONVICTING_CRASHES_IF_TIED = 4;

  /**
   * Crashes less than this time apart, in milliseconds, count once for a part unless its request
   * was sent after the earlier one. Otherwise a loss of power of many engines would convict parts
   * that are in many requests.
   */
  private static final long SAME_EVENT_MS = 1_000;

  private final CrashLog log;

  CulpritFinder(CrashLog log) {
    this.log = log;
  }

  /** Crashes that a part explains. */
  private record Count(int crashes, long lastMs) {}

  /** Returns the culprits, with the number of crashes and the time of the last one. */
  Map<PromptPart, Culprit> find() {
    List<EngineCrash> open = log.crashes();
    open.sort(Comparator.comparingLong(EngineCrash::crashedMs));
    Map<PromptPart, Culprit> culprits = new LinkedHashMap<>();
    while (!open.isEmpty()) {
      Map<PromptPart, Count> counts = count(open);
      List<PromptPart> worst = worst(counts);
      if (worst.isEmpty()) {
        break;
      }
      for (PromptPart part : worst) {
        Count count = counts.get(part);
        culprits.put(part, new Culprit(part, count.crashes(), count.lastMs()));
      }
      open.removeIf(crash -> worst.stream().anyMatch(part -> log.suspected(part, crash)));
    }
    return culprits;
  }

  private Map<PromptPart, Count> count(List<EngineCrash> ordered) {
    Map<PromptPart, Count> counts = new HashMap<>();
    for (EngineCrash crash : ordered) {
      for (PromptPart part : crash.suspects()) {
        if (log.suspected(part, crash)) {
          counts.merge(part, new Count(1, crash.crashedMs()), (sum, one) -> sum(sum, crash, part));
        }
      }
    }
    return counts;
  }

  private static Count sum(Count sum, EngineCrash crash, PromptPart part) {
    boolean separate =
        crash.sentMs(part) > sum.lastMs() || crash.crashedMs() - sum.lastMs() >= SAME_EVENT_MS;
    return separate ? new Count(sum.crashes() + 1, crash.crashedMs()) : sum;
  }

  /** The parts with most crashes; of several, those that were never answered, if there are any. */
  private List<PromptPart> worst(Map<PromptPart, Count> counts) {
    int most = counts.values().stream().mapToInt(Count::crashes).max().orElse(0);
    if (most < CONVICTING_CRASHES) {
      return List.of();
    }
    List<PromptPart> tied = new ArrayList<>();
    List<PromptPart> neverAnswered = new ArrayList<>();
    for (Map.Entry<PromptPart, Count> entry : counts.entrySet()) {
      if (entry.getValue().crashes() < most) {
        continue;
      }
      tied.add(entry.getKey());
      if (!log.everAnswered(entry.getKey())) {
        neverAnswered.add(entry.getKey());
      }
    }
    if (!neverAnswered.isEmpty()) {
      return neverAnswered;
    }
    boolean convicted = tied.size() == 1 || most >= CONVICTING_CRASHES_IF_TIED;
    return convicted ? tied : List.of();
  }
}
