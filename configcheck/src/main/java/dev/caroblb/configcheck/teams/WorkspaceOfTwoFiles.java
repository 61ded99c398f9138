package dev.caroblb.configcheck.teams;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A workspace belongs to one file. */
final class WorkspaceOfTwoFiles implements ConfigurationRule<List<NamedTeamFile>> {
  @Override
  public List<Finding> findings(List<NamedTeamFile> files) {
    List<Finding> findings = new ArrayList<>();
    Map<String, String> owners = new HashMap<>();
    for (NamedTeamFile file : files) {
      List<String> names =
          file.content().workspaces().stream()
              .map(workspace -> workspace.workspace().toString())
              .toList();
      for (String name : names) {
        String owner = owners.putIfAbsent(name, file.name());
        if (owner != null) {
          findings.add(
              Finding.error(
                      "workspaces " + name,
                      "workspace " + name + ", which " + owner + " defines, too",
                      "keep it in one of the files")
                  .in(file.name()));
        }
      }
    }
    return findings;
  }
}
