package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * What a target says about itself in a response, whatever the response says about its request.
 *
 * @param leaving whether the target accepts no further requests
 * @param rejectsForMs time in milliseconds during which the target wants no requests from this
 *     instance
 * @param requestsPerSecond number of requests per second that the target takes from all instances
 *     together; empty if it names none
 * @param warmUpLeftMs time in milliseconds for which the target stays cold; empty if it names none
 */
public record TargetNotice(
    boolean leaving,
    Optional<Long> rejectsForMs,
    Optional<Double> requestsPerSecond,
    Optional<Long> warmUpLeftMs) {
  /** The target says nothing about itself. */
  public static final TargetNotice NONE = new TargetNotice(false, Optional.empty());

  /** The notice of a target that names no warm-up. */
  public TargetNotice(
      boolean leaving, Optional<Long> rejectsForMs, Optional<Double> requestsPerSecond) {
    this(leaving, rejectsForMs, requestsPerSecond, Optional.empty());
  }

  /** The notice of a target that names no number of requests per second. */
  public TargetNotice(boolean leaving, Optional<Long> rejectsForMs) {
    this(leaving, rejectsForMs, Optional.empty());
  }
}
