package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Each service is defined once. */
final class DuplicateService implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (ServiceDraft service : document.services()) {
      if (!names.add(service.service().name())) {
        findings.add(Finding.error(Places.of(service), "a second definition", "define it once"));
      }
    }
    return findings;
  }
}
