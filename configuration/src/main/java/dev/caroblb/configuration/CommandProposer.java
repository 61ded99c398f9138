package dev.caroblb.configuration;

import dev.caroblb.core.Outlet;

/** Proposes configuration commands, not yet encoded, to the control group. */
@FunctionalInterface
public interface CommandProposer {
  /**
   * Proposes a command. Returns false if nothing was proposed; otherwise the outcome is offered to
   * {@code reply} exactly once.
   */
  boolean propose(ConfigurationCommand command, Outlet<CommandOutcome> reply);
}
