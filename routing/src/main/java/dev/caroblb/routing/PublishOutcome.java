package dev.caroblb.routing;

import dev.caroblb.core.InstanceId;

/** Outcome of publishing a document. */
public sealed interface PublishOutcome {
  /** The document, or one with a greater number, is accepted. */
  record Accepted(long numberInForce) implements PublishOutcome {}

  /** Another instance leads the control group and can accept it. */
  record AskLeader(InstanceId leader) implements PublishOutcome {}

  /** The outcome is unknown; publishing the document again is safe. */
  record Unanswered() implements PublishOutcome {}
}
