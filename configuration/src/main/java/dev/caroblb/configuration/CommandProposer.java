package dev.caroblb.configuration;

import dev.caroblb.core.Outlet;

/** Entrance to the control group for commands that are not encoded yet. */
@FunctionalInterface
public interface CommandProposer {
  /**
   * Proposes a command. The outcome is offered to {@code reply} exactly once unless this method
   * returns false, which means that nothing was proposed.
   */
  boolean propose(ConfigurationCommand command, Outlet<CommandOutcome> reply);
}
