package dev.caroblb.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configcheck.Severity;
import dev.caroblb.configcheck.Verdict;
import dev.caroblb.configcheck.report.FindingFormat;
import java.util.List;
import java.util.Optional;

/** Checks team files locally, without publishing them. */
@Parameters(commandDescription = "Check team files without publishing them")
final class CheckCommand implements Subcommand {
  private final TeamFilesCheck check;

  @Parameter(description = "FILE...", required = true)
  private List<String> files;

  @Parameter(
      names = "--in-force",
      description = "Team file in force, to report differences; may be repeated")
  private List<String> inForce;

  @Parameter(names = "--json", description = "Print one JSON object")
  private boolean json;

  CheckCommand(TeamFileChecker checker) {
    check = new TeamFilesCheck(checker);
  }

  @Override
  public String name() {
    return "check";
  }

  @Override
  public String example() {
    return "caroblb check --in-force published/receipts.toml receipts.toml staffing.toml";
  }

  @Override
  public ExitCode run(Console console) {
    List<Finding> findings = check.findings(files, Optional.ofNullable(inForce));
    FindingFormat.of(json).lines(findings).forEach(console::print);
    if (!json) {
      files.forEach(file -> console.print((valid(file, findings) ? "valid " : "invalid ") + file));
    }
    return exitCode(Verdict.of(findings));
  }

  private static boolean valid(String file, List<Finding> findings) {
    String name = TeamFilesCheck.name(file);
    return findings.stream()
        .noneMatch(finding -> finding.severity() == Severity.ERROR && finding.file().equals(name));
  }

  private static ExitCode exitCode(Verdict verdict) {
    return switch (verdict) {
      case SOUND -> ExitCode.DONE;
      case ERRORS -> ExitCode.REFUSED;
      case WARNINGS -> ExitCode.WARNINGS;
    };
  }
}
