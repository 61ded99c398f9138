package dev.caroblb.forwarding;

/**
 * A question for a target that has no final answer yet.
 *
 * @param ticket number of the question
 * @param purpose what the target is for
 * @param queued whether the answer is that the request waits for room
 */
record Question(long ticket, PlacementNeed.Purpose purpose, boolean queued) {
  Question waits() {
    return new Question(ticket, purpose, true);
  }
}
