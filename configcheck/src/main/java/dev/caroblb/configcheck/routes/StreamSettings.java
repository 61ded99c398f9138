package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.RepeatRule;
import dev.caroblb.routing.Route;
import java.util.ArrayList;
import java.util.List;

/** Settings of streams have no effect on routes of other types. */
final class StreamSettings implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (Route route : document.routes()) {
      boolean streamSettings = route.resumable() || route.eventGapObjectiveMs() > 0;
      if (route.repeat() != RepeatRule.STREAM && streamSettings) {
        findings.add(
            Finding.unreachable(
                Places.of(route),
                route.resumable()
                    ? "resumption on a route whose responses are not streams"
                    : "a pause objective on a route whose responses are not streams",
                "remove the setting or make the route a streaming one"));
      }
    }
    return findings;
  }
}
