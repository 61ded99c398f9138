package dev.caroblb.routing;

import dev.caroblb.core.InstanceId;

/** Outcome of reading the newest document. */
public sealed interface ReadOutcome {
  /** The newest accepted document at a time after the read started. */
  record Newest(RoutingDocument document) implements ReadOutcome {}

  /** No document has been accepted yet. */
  record NoDocument() implements ReadOutcome {}

  /** Another instance leads the control group and can answer. */
  record AskLeader(InstanceId leader) implements ReadOutcome {}

  /** This instance cannot determine which document is the newest. */
  record Undetermined() implements ReadOutcome {}
}
