package dev.caroblb.membership;

import dev.caroblb.core.TargetId;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Whether this instance has learned, since its start, the targets that another instance knows. */
final class TargetCatchUp {
  /**
   * Time after which the instance counts as caught up: two digests and the answer to a request. No
   * other instance may run, and a target that the others list may be dead.
   */
  static final long TIMEOUT_MS = 3_000;

  private Optional<Long> startedMs = Optional.empty();
  private Optional<Set<TargetId>> missing = Optional.empty();
  private boolean complete;

  /** Takes the targets to wait for from the first digest. */
  void digestReceived(List<TargetSummary> digest) {
    if (missing.isPresent()) {
      return;
    }
    Set<TargetId> listed = new HashSet<>();
    for (TargetSummary summary : digest) {
      if (!summary.leaving()) {
        listed.add(summary.target());
      }
    }
    missing = Optional.of(listed);
  }

  boolean completeAt(TargetTable targets, long nowMs) {
    startedMs = Optional.of(startedMs.orElse(nowMs));
    missing.ifPresent(listed -> listed.removeIf(target -> isKnown(targets, target, nowMs)));
    complete |= nowMs - startedMs.get() >= TIMEOUT_MS || missing.map(Set::isEmpty).orElse(false);
    return complete;
  }

  private static boolean isKnown(TargetTable targets, TargetId target, long nowMs) {
    return targets
        .find(target)
        .filter(known -> known.statusAt(nowMs) != TargetStatus.SILENT)
        .isPresent();
  }
}
