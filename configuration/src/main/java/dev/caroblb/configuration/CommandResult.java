package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.TeamFileError;
import java.util.List;

/** Result of applying a {@link ConfigurationCommand}; the same on every replica. */
public sealed interface CommandResult {
  /** The publish was accepted, by this command or by an earlier one with the same content. */
  record Accepted(long number) implements CommandResult {}

  /** The number was already accepted with different content. */
  record Conflict(long number, String winnerRequest, String winnerDigest)
      implements CommandResult {}

  /** The number is smaller than the current number and has no recorded publish. */
  record Outdated(long number, long current) implements CommandResult {}

  /** A name in the files belongs to another team. */
  record Refused(List<TeamFileError> errors) implements CommandResult {
    public Refused {
      errors = List.copyOf(errors);
    }
  }

  /**
   * Every command committed before the barrier was applied; {@code number} is the current number.
   */
  record BarrierPassed(long number) implements CommandResult {}

  /** The result could not be decoded; the command may have been applied. */
  record Unreadable() implements CommandResult {}
}
