package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Each API key belongs to one workspace. Keys are secret and not shown. */
final class SharedKey implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    Map<String, WorkspaceDraft> owners = new HashMap<>();
    for (WorkspaceDraft workspace : document.workspaces().orElse(List.of())) {
      String name = workspace.workspace().name();
      for (String key : workspace.keys()) {
        WorkspaceDraft owner = owners.putIfAbsent(key, workspace);
        if (owner != null && !owner.workspace().name().equals(name)) {
          findings.add(
              Finding.error(
                  Places.of(workspace),
                  "an API key of " + Places.of(owner),
                  "give each workspace keys of its own"));
        }
      }
    }
    return findings;
  }
}
