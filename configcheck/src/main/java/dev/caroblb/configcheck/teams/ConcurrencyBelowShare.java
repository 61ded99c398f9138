package dev.caroblb.configcheck.teams;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.configuration.teamfile.TeamFile;
import java.util.List;

/** A workspace whose call limit is below its weight can seldom use its share. */
final class ConcurrencyBelowShare implements ConfigurationRule<TeamFile> {
  @Override
  public List<Finding> findings(TeamFile file) {
    return file.workspaces().stream()
        .filter(workspace -> workspace.maxConcurrent() < workspace.share())
        .map(
            workspace ->
                Finding.contradiction(
                    "workspaces " + workspace.workspace(),
                    "max_concurrent "
                        + workspace.maxConcurrent()
                        + " below share "
                        + workspace.share(),
                    "raise max_concurrent or lower share"))
        .toList();
  }
}
