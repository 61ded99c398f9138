package dev.caroblb.configuration;

import dev.caroblb.core.InstanceId;
import java.util.Optional;

/** What became of a proposed {@link ConfigurationCommand}. */
public sealed interface CommandOutcome {
  /** The command is committed and was applied. */
  record Applied(CommandResult result) implements CommandOutcome {}

  /** This instance does not lead the group; the command was not appended. */
  record NotLeader(Optional<InstanceId> leader) implements CommandOutcome {}

  /** Leadership ended before the command was committed; it may still become committed. */
  record Unknown() implements CommandOutcome {}
}
