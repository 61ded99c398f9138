package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Each host and path prefix has one route. */
final class DuplicateRoute implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    Map<List<String>, Route> first = new HashMap<>();
    for (Route route : document.routes()) {
      Route other = first.putIfAbsent(List.of(route.host(), route.prefix()), route);
      if (other != null) {
        findings.add(
            Finding.error(
                Places.of(route),
                "host "
                    + route.host()
                    + " and prefix "
                    + route.prefix()
                    + " of "
                    + Places.of(other),
                "change the host or the prefix of one of them"));
      }
    }
    return findings;
  }
}
