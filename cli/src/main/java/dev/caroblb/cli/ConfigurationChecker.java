package dev.caroblb.cli;

import dev.caroblb.configcheck.Finding;
import dev.caroblb.configuration.teamfile.TeamFile;
import dev.caroblb.configuration.teamfile.TeamFileError;
import dev.caroblb.configuration.teamfile.TeamFileReader;
import io.vavr.control.Either;
import java.util.List;

/** Validates team files with the same reader as the instances. */
final class ConfigurationChecker implements TeamFileChecker {
  @Override
  public Either<List<Finding>, TeamFile> read(String name, String text) {
    return TeamFileReader.read(name, text)
        .mapLeft(errors -> errors.stream().map(ConfigurationChecker::finding).toList());
  }

  private static Finding finding(TeamFileError error) {
    String place = error.key().isEmpty() ? "" + error.line() : error.line() + ": " + error.key();
    return Finding.error(
            place, error.found(), "allowed: " + error.allowed() + "; " + error.remedy())
        .in(error.file());
  }
}
