package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * What a target says about itself in a response, whatever the response says about its request.
 *
 * @param leaving whether the target accepts no further requests
 * @param rejectsForMs time in milliseconds during which the target wants no requests from this
 *     instance
 */
public record TargetNotice(boolean leaving, Optional<Long> rejectsForMs) {
  /** The target says nothing about itself. */
  public static final TargetNotice NONE = new TargetNotice(false, Optional.empty());
}
