package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.Route;
import java.util.ArrayList;
import java.util.List;

/** An objective above the timeout is met by every response. */
final class ObjectiveAboveTimeout implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (Route route : document.routes()) {
      if (route.objectiveMs() > route.timeoutMs()) {
        findings.add(
            Finding.contradiction(
                Places.of(route),
                "objective "
                    + route.objectiveMs()
                    + " ms above timeout "
                    + route.timeoutMs()
                    + " ms",
                "lower the objective or raise the timeout"));
      }
    }
    return findings;
  }
}
