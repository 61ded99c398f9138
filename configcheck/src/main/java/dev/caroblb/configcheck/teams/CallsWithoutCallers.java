package dev.caroblb.configcheck.teams;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configuration.teamfile.TeamFile;
import java.util.List;

/** Calls of a team without workspaces cannot be made by anybody. */
final class CallsWithoutCallers implements ConfigurationRule<TeamFile> {
  @Override
  public List<Finding> findings(TeamFile file) {
    if (!file.workspaces().isEmpty()) {
      return List.of();
    }
    return file.calls().keySet().stream()
        .sorted()
        .map(
            call ->
                Finding.unreachable(
                    "calls." + call,
                    "a call of a team without workspaces",
                    "add a workspace or remove the call"))
        .toList();
  }
}
