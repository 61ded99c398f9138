package dev.caroblb.cli;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configcheck.teams.NamedTeamFile;
import dev.caroblb.configcheck.teams.TeamComparison;
import dev.caroblb.configcheck.teams.TeamRules;
import dev.caroblb.configuration.teamfile.TeamFile;
import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks the files of one publish together, against the files in force if these are given. */
final class TeamFilesCheck {
  private final TeamFileChecker checker;

  TeamFilesCheck(TeamFileChecker checker) {
    this.checker = checker;
  }

  /** Returns the findings in the files, in the order of the files. */
  List<Finding> findings(List<String> files, Optional<List<String>> inForceFiles) {
    List<Finding> findings = new ArrayList<>();
    List<NamedTeamFile> valid = new ArrayList<>();
    for (String file : files) {
      Either<List<Finding>, TeamFile> read = checker.read(name(file), InputFiles.readText(file));
      read.peekLeft(findings::addAll);
      read.peek(content -> valid.add(new NamedTeamFile(name(file), content)));
    }
    List<NamedTeamFile> inForce = inForce(inForceFiles.orElse(List.of()));
    findings.addAll(ConfigurationRule.findings(TeamRules.errors(), merged(inForce, valid)));
    for (NamedTeamFile file : valid) {
      List<Finding> ofFile =
          new ArrayList<>(ConfigurationRule.findings(TeamRules.warnings(), file.content()));
      if (inForceFiles.isPresent()) {
        ofFile.addAll(differences(inForce, file.content()));
      }
      ofFile.forEach(finding -> findings.add(finding.in(file.name())));
    }
    return findings;
  }

  private List<NamedTeamFile> inForce(List<String> files) {
    List<NamedTeamFile> read = new ArrayList<>();
    for (String file : files) {
      TeamFile content =
          checker
              .read(name(file), InputFiles.readText(file))
              .getOrElseThrow(
                  errors ->
                      new InputException(
                          "file in force "
                              + file
                              + " is invalid ("
                              + errors.get(0).found()
                              + "); give a published file"));
      read.add(new NamedTeamFile(name(file), content));
    }
    return read;
  }

  /** The files after the publish: it replaces files by name and leaves the others as they are. */
  private static List<NamedTeamFile> merged(
      List<NamedTeamFile> inForce, List<NamedTeamFile> published) {
    Set<String> replaced =
        published.stream().map(NamedTeamFile::name).collect(Collectors.toUnmodifiableSet());
    List<NamedTeamFile> merged = new ArrayList<>();
    inForce.stream().filter(file -> !replaced.contains(file.name())).forEach(merged::add);
    merged.addAll(published);
    return merged;
  }

  private static List<Finding> differences(List<NamedTeamFile> inForce, TeamFile next) {
    return inForce.stream()
        .map(NamedTeamFile::content)
        .filter(content -> content.team().equals(next.team()))
        .findFirst()
        .map(content -> TeamComparison.differences(content, next))
        .orElseGet(() -> TeamComparison.additions(next));
  }

  /** The name under which a publish sends the file. */
  static String name(String file) {
    return Path.of(file).getFileName().toString();
  }
}
