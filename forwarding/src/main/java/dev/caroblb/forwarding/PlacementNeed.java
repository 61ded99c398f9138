package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import java.util.HashSet;
import java.util.Set;

/**
 * What a request needs of a target.
 *
 * @param purpose what the target is for
 * @param service the service that the request goes to
 * @param tokens tokens that it is expected to hold in memory when it ends; 0 for a plain request
 * @param promptTokens tokens of its prompt that are to be read
 * @param excluded targets that refused or failed it
 * @param near failure domain whose targets are preferred
 * @param backup whether a copy of its memory is wanted at a second engine
 * @param rank urgency; 0 is the most urgent
 * @param objectiveMs time in milliseconds until the latency objective of the request
 */
public record PlacementNeed(
    Purpose purpose,
    String service,
    long tokens,
    long promptTokens,
    Set<TargetId> excluded,
    FailureDomain near,
    boolean backup,
    int rank,
    long objectiveMs) {
  /** What a target is for. */
  public enum Purpose {
    /** The request runs there; it waits until there is room. */
    START,
    /** A running generation moves there, which cannot wait. */
    MOVE
  }

  /** The same need, with more targets that are not to be chosen. */
  PlacementNeed without(Set<TargetId> more) {
    Set<TargetId> all = new HashSet<>(excluded);
    all.addAll(more);
    return new PlacementNeed(
        purpose, service, tokens, promptTokens, all, near, backup, rank, objectiveMs);
  }

  public PlacementNeed {
    excluded = Set.copyOf(excluded);
  }
}
