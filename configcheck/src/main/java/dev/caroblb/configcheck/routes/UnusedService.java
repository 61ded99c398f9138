package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.Route;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A service that no route names gets no requests. */
final class UnusedService implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    Set<String> used = new HashSet<>();
    for (Route route : document.routes()) {
      route.services().forEach(part -> used.add(part.service()));
    }
    for (ServiceDraft service : document.services()) {
      if (!used.contains(service.service().name())) {
        findings.add(
            Finding.unreachable(
                Places.of(service), "no route that uses it", "add a route or remove the service"));
      }
    }
    return findings;
  }
}
