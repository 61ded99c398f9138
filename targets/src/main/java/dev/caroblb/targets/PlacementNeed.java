package dev.caroblb.targets;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import java.util.HashSet;
import java.util.Set;

/**
 * Requirements for the target of a request.
 *
 * @param purpose purpose of the placement
 * @param service the service that the request goes to
 * @param tokens tokens that it is expected to hold in memory when it ends; 0 if not a generation
 * @param promptTokens tokens of its prompt, which need prefill
 * @param excluded targets that must not be chosen
 * @param preferredDomain failure domain whose targets are preferred
 * @param wantsBackup whether a second engine should get a copy of its memory
 * @param priority priority of the request; 0 is the highest
 * @param objectiveMs time in milliseconds that is left to meet the latency objective
 * @param eventGapObjectiveMs objective in milliseconds for the time between two events; 0 if none
 */
public record PlacementNeed(
    Purpose purpose,
    String service,
    long tokens,
    long promptTokens,
    Set<TargetId> excluded,
    FailureDomain preferredDomain,
    boolean wantsBackup,
    int priority,
    long objectiveMs,
    long eventGapObjectiveMs) {
  /** Purpose of a placement. */
  public enum Purpose {
    /** The request starts there; it can be queued until there is room. */
    START,
    /** A running generation moves there; it cannot be queued. */
    MOVE,
    /** The request needs a permit for a limited target; it cannot be queued. */
    PERMIT
  }

  /** Requirements without an objective for the time between two events. */
  public PlacementNeed(
      Purpose purpose,
      String service,
      long tokens,
      long promptTokens,
      Set<TargetId> excluded,
      FailureDomain preferredDomain,
      boolean wantsBackup,
      int priority,
      long objectiveMs) {
    this(
        purpose,
        service,
        tokens,
        promptTokens,
        excluded,
        preferredDomain,
        wantsBackup,
        priority,
        objectiveMs,
        0);
  }

  /** Returns the same requirements with additional excluded targets. */
  public PlacementNeed excluding(Set<TargetId> more) {
    Set<TargetId> all = new HashSet<>(excluded);
    all.addAll(more);
    return new PlacementNeed(
        purpose,
        service,
        tokens,
        promptTokens,
        all,
        preferredDomain,
        wantsBackup,
        priority,
        objectiveMs,
        eventGapObjectiveMs);
  }

  /** Returns the same requirements without excluded targets. */
  public PlacementNeed withoutExclusions() {
    return new PlacementNeed(
        purpose,
        service,
        tokens,
        promptTokens,
        Set.of(),
        preferredDomain,
        wantsBackup,
        priority,
        objectiveMs,
        eventGapObjectiveMs);
  }

  public PlacementNeed {
    excluded = Set.copyOf(excluded);
  }
}
