package dev.caroblb.evacuation;

import dev.caroblb.core.FailureDomain;

/** Command of the replicated evacuation state: an operator's order. */
public sealed interface EvacuationCommand {
  FailureDomain domain();

  /** Nothing more is sent to the targets of the domain. */
  record Begin(FailureDomain domain) implements EvacuationCommand {}

  /** Withdraws the order to evacuate the domain. */
  record End(FailureDomain domain) implements EvacuationCommand {}
}
