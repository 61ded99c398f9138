package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.RepeatRule;
import dev.caroblb.routing.Route;
import java.util.ArrayList;
import java.util.List;

/** A pause between two events should not exceed the time to the first event. */
final class PauseAboveObjective implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (Route route : document.routes()) {
      if (route.repeat() == RepeatRule.STREAM
          && route.eventGapObjectiveMs() > route.objectiveMs()) {
        findings.add(
            Finding.contradiction(
                Places.of(route),
                "pause objective "
                    + route.eventGapObjectiveMs()
                    + " ms above objective "
                    + route.objectiveMs()
                    + " ms",
                "lower the pause objective or raise the objective"));
      }
    }
    return findings;
  }
}
