package dev.caroblb.forwarding.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the parts that explain the crashes of engines. A part that crashes engines is a suspect of
 * each such crash and is never answered; the parts that it shares requests with are answered in
 * other requests, which clears them. The part that explains most crashes is found first, and the
 * crashes that it explains are not counted for the others.
 */
final class CrashAttribution {
  /** Number of crashes after which a part is quarantined. */
  private static final int MIN_CRASHES = 3;

  /**
   * Crashes less than this time apart, in milliseconds, count once for a part unless its request
   * was sent after the earlier one. Otherwise a loss of power of many engines would quarantine
   * parts that are in many requests.
   */
  private static final long SAME_EVENT_MS = 1_000;

  private final CrashLog log;

  CrashAttribution(CrashLog log) {
    this.log = log;
  }

  /** Crashes that a part explains. */
  private record Count(int crashes, long lastMs) {}

  /** Returns the causes of all crashes that are explained. */
  List<CrashCause> find() {
    List<EngineCrash> open = log.crashes();
    open.sort(Comparator.comparingLong(EngineCrash::crashedMs));
    List<CrashCause> causes = new ArrayList<>();
    while (!open.isEmpty()) {
      Map<PromptPart, Count> counts = count(open);
      List<PromptPart> found = mostCrashes(counts, open);
      if (found.isEmpty()) {
        break;
      }
      Count count = counts.get(found.get(0));
      causes.add(new CrashCause(found, count.crashes(), count.lastMs()));
      open.removeIf(crash -> found.stream().anyMatch(part -> log.suspected(part, crash)));
    }
    return causes;
  }

  private Map<PromptPart, Count> count(List<EngineCrash> ordered) {
    Map<PromptPart, Count> counts = new LinkedHashMap<>();
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

  /**
   * A part with most crashes among those with enough of them, and the parts with as many that are
   * suspects of the same crashes, since these cannot be told apart. A part on which no engine ever
   * generated comes first: one that was answered before is more likely a part that many share.
   */
  private List<PromptPart> mostCrashes(Map<PromptPart, Count> counts, List<EngineCrash> open) {
    List<PromptPart> candidates = new ArrayList<>();
    for (Map.Entry<PromptPart, Count> entry : counts.entrySet()) {
      if (entry.getValue().crashes() >= MIN_CRASHES) {
        candidates.add(entry.getKey());
      }
    }
    List<PromptPart> neverAnswered =
        candidates.stream().filter(part -> !log.everAnswered(part)).toList();
    List<PromptPart> preferred = neverAnswered.isEmpty() ? candidates : neverAnswered;
    int most = preferred.stream().mapToInt(part -> counts.get(part).crashes()).max().orElse(0);
    List<PromptPart> equal =
        preferred.stream().filter(part -> counts.get(part).crashes() == most).toList();
    return equal.stream().filter(part -> shareCrash(part, equal.get(0), open)).toList();
  }

  private boolean shareCrash(PromptPart part, PromptPart other, List<EngineCrash> open) {
    return open.stream()
        .anyMatch(crash -> log.suspected(part, crash) && log.suspected(other, crash));
  }
}
