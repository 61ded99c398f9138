package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import java.util.ArrayList;
import java.util.List;

/** One event of a generation fits into the memory of an engine. */
final class EventAboveEngine implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (ServiceDraft service : document.services()) {
      service
          .service()
          .engine()
          .filter(engine -> engine.memoryTokens() > 0)
          .filter(engine -> engine.eventTokens() > engine.memoryTokens())
          .ifPresent(
              engine ->
                  findings.add(
                      Finding.contradiction(
                          Places.of(service),
                          "events of "
                              + engine.eventTokens()
                              + " tokens and engine memory for "
                              + engine.memoryTokens()
                              + " tokens",
                          "lower the tokens of an event or raise the memory")));
    }
    return findings;
  }
}
