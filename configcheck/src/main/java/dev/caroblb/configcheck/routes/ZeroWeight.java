package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.Route;
import dev.caroblb.routing.WeightedService;
import java.util.ArrayList;
import java.util.List;

/** A service with weight 0 gets no request of the route. */
final class ZeroWeight implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (Route route : document.routes()) {
      for (WeightedService part : route.services()) {
        if (part.weight() == 0) {
          findings.add(
              Finding.unreachable(
                  Places.of(route),
                  "weight 0 of service " + part.service(),
                  "set a weight above 0 or remove the service from the route"));
        }
      }
    }
    return findings;
  }
}
