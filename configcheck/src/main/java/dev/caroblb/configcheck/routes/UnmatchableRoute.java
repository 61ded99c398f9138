package dev.caroblb.configcheck.routes;

import dev.caroblb.configcheck.ConfigurationRule;
import dev.caroblb.configcheck.Finding;
import dev.caroblb.routing.Route;
import java.util.ArrayList;
import java.util.List;

/** Hosts and prefixes consist of characters that can occur in a request. */
final class UnmatchableRoute implements ConfigurationRule<RoutingDraft> {
  private static final char LAST_ASCII = '~';

  @Override
  public List<Finding> findings(RoutingDraft document) {
    List<Finding> findings = new ArrayList<>();
    for (Route route : document.routes()) {
      if (!sendable(route.host()) || route.host().indexOf('/') >= 0) {
        findings.add(
            Finding.unreachable(
                Places.of(route),
                "host " + route.host() + ", which no Host header can contain",
                "use a host name, with a port only if callers send one"));
      }
      if (!sendable(route.prefix())) {
        findings.add(
            Finding.unreachable(
                Places.of(route),
                "prefix " + route.prefix() + ", which no request path can contain",
                "use visible ASCII characters other than '#', and escape others with %"));
      }
    }
    return findings;
  }

  /** Callers escape all other characters, and send no fragment. */
  private static boolean sendable(String text) {
    return text.chars().allMatch(c -> c > ' ' && c <= LAST_ASCII && c != '#');
  }
}
