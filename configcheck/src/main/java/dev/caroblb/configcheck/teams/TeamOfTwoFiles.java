package dev.caroblb.configcheck.teams;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A team is described by one file. */
final class TeamOfTwoFiles implements ConfigurationRule<List<NamedTeamFile>> {
  @Override
  public List<Finding> findings(List<NamedTeamFile> files) {
    List<Finding> findings = new ArrayList<>();
    Map<String, String> owners = new HashMap<>();
    for (NamedTeamFile file : files) {
      List<String> names = List.of(file.content().team());
      for (String name : names) {
        String owner = owners.putIfAbsent(name, file.name());
        if (owner != null) {
          findings.add(
              Finding.error(
                      "team",
                      "team " + name + ", which " + owner + " defines, too",
                      "keep it in one of the files")
                  .in(file.name()));
        }
      }
    }
    return findings;
  }
}
