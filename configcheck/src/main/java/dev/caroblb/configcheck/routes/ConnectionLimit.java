package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.Service;
import java.util.ArrayList;
import java.util.List;

/** A target needs a connection for each request that it runs. */
final class ConnectionLimit implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (ServiceDraft draft : document.services()) {
      Service service = draft.service();
      int slots = service.engine().map(EngineLimits::slots).orElse(0);
      if (service.maxConnections() == 0) {
        findings.add(
            Finding.contradiction(
                Places.of(draft), "0 connections to a target", "allow at least one connection"));
      } else if (service.maxConnections() < slots) {
        findings.add(
            Finding.contradiction(
                Places.of(draft),
                service.maxConnections() + " connections to an engine with " + slots + " slots",
                "allow as many connections as there are slots, or lower the slots"));
      }
    }
    return findings;
  }
}
