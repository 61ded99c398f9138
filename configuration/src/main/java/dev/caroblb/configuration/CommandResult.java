package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.TeamFileError;
import java.util.List;

/** Result of a {@link ConfigurationCommand}, equal on every replica. */
public sealed interface CommandResult {
  /** The publish is part of the configuration, from this command or an earlier equal one. */
  record Accepted(long number) implements CommandResult {}

  /** Another content was accepted under the number. */
  record Conflict(long number, String winnerRequest, String winnerDigest)
      implements CommandResult {}

  /** The number is smaller than the current one, and nothing is recorded under it. */
  record Outdated(long number, long current) implements CommandResult {}

  /** A name in the files belongs to another team. */
  record Refused(List<TeamFileError> errors) implements CommandResult {
    public Refused {
      errors = List.copyOf(errors);
    }
  }

  /** Everything committed earlier was applied; {@code number} is the current one. */
  record BarrierPassed(long number) implements CommandResult {}

  /** The result has an unknown format; the command may have been applied. */
  record Unreadable() implements CommandResult {}
}
