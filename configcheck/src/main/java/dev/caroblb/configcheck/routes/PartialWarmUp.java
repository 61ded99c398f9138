package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import java.util.ArrayList;
import java.util.List;

/** A warm-up takes effect only with a duration and a rate above 0. */
final class PartialWarmUp implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (ServiceDraft service : document.services()) {
      if (service.coldSeconds() > 0 && service.coldPerSecond() == 0) {
        findings.add(
            Finding.contradiction(
                Places.of(service),
                "a warm-up of " + service.coldSeconds() + " s without a rate",
                "set a rate above 0 or remove the duration"));
      }
      if (service.coldSeconds() == 0 && service.coldPerSecond() > 0) {
        findings.add(
            Finding.contradiction(
                Places.of(service),
                "a warm-up rate of " + service.coldPerSecond() + "/s without a duration",
                "set a duration above 0 or remove the rate"));
      }
    }
    return findings;
  }
}
