package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import java.util.Optional;

/** Outcome of proposing a {@link ConfigurationCommand} to the control group. */
public sealed interface CommandOutcome {
  /** The command was committed and applied. */
  record Applied(CommandResult result) implements CommandOutcome {}

  /** This instance is not the leader of the group; the command was not appended to its log. */
  record NotLeader(Optional<InstanceId> leader) implements CommandOutcome {}

  /** Leadership ended before the command was committed; a later leader may still commit it. */
  record Unknown() implements CommandOutcome {}
}
