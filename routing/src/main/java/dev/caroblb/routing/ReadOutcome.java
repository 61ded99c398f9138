package dev.caroblb.routing;

import dev.caroblb.core.InstanceId;

/** Answer to a question for the newest document. */
public sealed interface ReadOutcome {
  /** The newest accepted document at a moment after the question came. */
  record Newest(RoutingDocument document) implements ReadOutcome {}

  /** Nothing was accepted so far. */
  record Nothing() implements ReadOutcome {}

  /** Another instance leads the control group and can answer. */
  record AskLeader(InstanceId leader) implements ReadOutcome {}

  /** This instance cannot be sure which document is the newest. */
  record Unsure() implements ReadOutcome {}
}
