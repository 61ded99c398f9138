package dev.caroblb.placement;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.WorkspaceId;
import java.util.Optional;

/**
 * One call that needs a target.
 *
 * @param call identity of the call within this instance
 * @param modelOrService model or service that serves it, see {@code CallPolicy.modelOrService}
 * @param callName name of the call in the team file
 * @param workspace workspace that is charged for it
 * @param priority 0 (lowest) to 9 (highest), from the team file
 * @param prompt shape of the prompt
 * @param deadlineMs monotonic time by which the answer must be complete
 * @param allowedMs time that the call had from its arrival to its deadline
 * @param attempt 0 for the first dispatch, 1 for the first retry
 * @param avoid failure domain of the previous attempt, avoided if possible
 */
public record PlacementRequest(
    long call,
    String modelOrService,
    String callName,
    WorkspaceId workspace,
    int priority,
    PromptShape prompt,
    long deadlineMs,
    long allowedMs,
    int attempt,
    Optional<FailureDomain> avoid) {
  /** Fraction of the allowed time that is left. */
  double slack(long nowMs) {
    return allowedMs <= 0 ? 1 : (deadlineMs - nowMs) / (double) allowedMs;
  }
}
