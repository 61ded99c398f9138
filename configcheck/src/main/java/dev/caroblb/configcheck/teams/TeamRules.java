package dev.caroblb.configcheck.teams;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configuration.teamfile.TeamFile;
import java.util.List;

/** The rules for valid team files. */
public final class TeamRules {
  private TeamRules() {}

  /** Rules for one file. */
  public static List<ConfigurationRule<TeamFile>> warnings() {
    return List.of(new CallsWithoutCallers(), new UnusedModel(), new ConcurrencyBelowShare());
  }

  /** Rules for the files of one publish, whose violation makes the instances refuse it. */
  public static List<ConfigurationRule<List<NamedTeamFile>>> errors() {
    return List.of(new TeamOfTwoFiles(), new WorkspaceOfTwoFiles());
  }
}
