package dev.caroblb.routing;

import dev.caroblb.core.InstanceId;

/** What became of a published document. */
public sealed interface PublishOutcome {
  /** The document is accepted, or a greater number was accepted before. */
  record Accepted(long numberInForce) implements PublishOutcome {}

  /** Another instance leads the control group and can accept it. */
  record AskLeader(InstanceId leader) implements PublishOutcome {}

  /** The document may or may not be accepted; publishing it again is safe. */
  record Unanswered() implements PublishOutcome {}
}
