package dev.caroblb.cli;

import dev.caroblb.configuration.teamfile.TeamFileError;
import dev.caroblb.configuration.teamfile.TeamFileReader;
import java.util.List;

/** Validates team files with the same reader as the instances. */
final class ConfigurationChecker implements TeamFileChecker {
  @Override
  public List<String> errors(String name, String text) {
    return TeamFileReader.read(name, text)
        .fold(
            errors -> errors.stream().map(TeamFileError::message).toList(),
            valid -> List.<String>of());
  }
}
