package dev.caroblb.forwarding;

import dev.caroblb.core.InstanceId;

/**
 * A question for a target that has no final answer yet.
 *
 * @param ticket number of the question
 * @param control the control instance that was asked
 * @param purpose what the target is for
 * @param answerByMs until when a first answer is worth waiting for
 * @param queued whether the answer is that the request waits for room
 */
record Question(
    long ticket,
    InstanceId control,
    PlacementNeed.Purpose purpose,
    long answerByMs,
    boolean queued) {
  Question waits() {
    return new Question(ticket, control, purpose, answerByMs, true);
  }

  /** Whether a first answer may still come in time. */
  boolean open(long nowMs) {
    return !queued && nowMs < answerByMs;
  }
}
