package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import java.util.ArrayList;
import java.util.List;

/** A workspace without API keys cannot be identified by any request. */
final class KeylessWorkspace implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (WorkspaceDraft workspace : document.workspaces().orElse(List.of())) {
      if (workspace.keys().isEmpty()) {
        findings.add(
            Finding.unreachable(
                Places.of(workspace), "no API key", "add a key or remove the workspace"));
      }
    }
    return findings;
  }
}
