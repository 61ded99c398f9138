package dev.caroblb.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.nio.file.Path;
import java.util.List;

/** Validates team files locally, without publishing them. */
@Parameters(commandDescription = "Check team files without publishing them")
final class CheckCommand implements Subcommand {
  private final TeamFileChecker checker;

  @Parameter(description = "FILE...", required = true)
  private List<String> files;

  CheckCommand(TeamFileChecker checker) {
    this.checker = checker;
  }

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String example() {
    return "caroblb check receipts.toml staffing.toml";
  }

  @Override
  public ExitCode run(Console console) {
    boolean valid = true;
    for (String file : files) {
      List<String> errors =
          checker.errors(Path.of(file).getFileName().toString(), InputFiles.readText(file));
      errors.forEach(console::print);
      console.print((errors.isEmpty() ? "valid " : "invalid ") + file);
      valid &= errors.isEmpty();
    }
    return valid ? ExitCode.DONE : ExitCode.REFUSED;
  }
}
