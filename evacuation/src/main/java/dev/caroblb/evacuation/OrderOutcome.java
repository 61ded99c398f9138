package dev.caroblb.evacuation;

import dev.caroblb.core.InstanceId;

/** Outcome of an operator's order. */
public sealed interface OrderOutcome {
  /** The order is committed and applied; the state includes it. */
  record Accepted(EvacuationState state) implements OrderOutcome {}

  /** Another instance leads the control group and can accept it. */
  record AskLeader(InstanceId leader) implements OrderOutcome {}

  /** The outcome is unknown; sending the order again is safe. */
  record Unanswered() implements OrderOutcome {}
}
