package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.Route;
import java.util.ArrayList;
import java.util.List;

/** A request that may run once is never attempted again after it may have run. */
final class AttemptsOfSingleRun implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (Route route : document.routes()) {
      if (route.maxAttempts() > 1 && !route.repeatable()) {
        findings.add(
            Finding.contradiction(
                Places.of(route),
                route.maxAttempts() + " attempts of requests that may run at most once",
                "set 1 attempt, or make the route repeatable or resumable"));
      }
    }
    return findings;
  }
}
