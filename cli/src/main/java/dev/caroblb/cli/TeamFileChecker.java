package dev.caroblb.cli;

import dev.caroblb.configcheck.Finding;
import dev.caroblb.configuration.teamfile.TeamFile;
import io.vavr.control.Either;
import java.util.List;

/** Validates a team file by the rules of a publish. */
@FunctionalInterface
interface TeamFileChecker {
  /** Returns the content of a valid file, or all of its errors. */
  Either<List<Finding>, TeamFile> read(String name, String text);
}
