package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.Route;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Two routes of one host stay different after normalization. Entries compare hosts and paths as
 * they are sent, and callers send them in normal form, so only one of two such routes gets
 * requests.
 */
final class HiddenRoute implements ConfigurationRule<RoutingDraft> {
  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    Map<List<String>, Route> first = new HashMap<>();
    for (Route route : document.routes()) {
      List<String> normalized =
          List.of(route.host().toLowerCase(Locale.ROOT), NormalizedPrefix.of(route.prefix()));
      Route other = first.putIfAbsent(normalized, route);
      if (other != null) {
        findings.add(
            Finding.unreachable(
                Places.of(route),
                "host "
                    + route.host()
                    + " and prefix "
                    + route.prefix()
                    + ", after normalization those of "
                    + Places.of(other),
                "remove one of the two routes"));
      }
    }
    return findings;
  }
}
