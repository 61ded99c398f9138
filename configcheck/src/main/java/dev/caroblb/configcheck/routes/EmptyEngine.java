package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import java.util.ArrayList;
import java.util.List;

/** An engine without slots or memory gets no generations. */
final class EmptyEngine implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (ServiceDraft service : document.services()) {
      service
          .service()
          .engine()
          .filter(engine -> engine.slots() == 0 || engine.memoryTokens() == 0)
          .ifPresent(
              engine ->
                  findings.add(
                      Finding.contradiction(
                          Places.of(service),
                          "engines with "
                              + engine.slots()
                              + " slots and memory for "
                              + engine.memoryTokens()
                              + " tokens",
                          "set both above 0, or remove the engine if the service is plain")));
    }
    return findings;
  }
}
