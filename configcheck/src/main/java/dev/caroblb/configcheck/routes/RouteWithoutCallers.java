package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.Route;
import java.util.ArrayList;
import java.util.List;

/** If no workspace has a key, a route that requires one serves nobody. */
final class RouteWithoutCallers implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    boolean keys =
        document
            .workspaces()
            .map(all -> all.stream().anyMatch(workspace -> !workspace.keys().isEmpty()))
            .orElse(true);
    for (Route route : document.routes()) {
      if (!keys && !route.keyless()) {
        findings.add(
            Finding.unreachable(
                Places.of(route),
                "a route that requires a key, and no workspace with a key",
                "add a key, or let the route serve requests without one"));
      }
    }
    return findings;
  }
}
