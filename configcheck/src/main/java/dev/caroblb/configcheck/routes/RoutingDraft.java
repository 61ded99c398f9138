package dev.caroblb.configcheck.routes;

import dev.caroblb.routing.CallerLimits;
import dev.caroblb.routing.Route;
import java.util.List;
import java.util.Optional;

/**
 * A routing document with the entries that a routing table merges or leaves out.
 *
 * @param number version number
 * @param workspaces empty if requests need no key
 */
public record RoutingDraft(
    long number,
    List<Route> routes,
    List<ServiceDraft> services,
    CallerLimits limits,
    Optional<List<WorkspaceDraft>> workspaces) {
  public RoutingDraft {
    routes = List.copyOf(routes);
    services = List.copyOf(services);
    workspaces = workspaces.map(List::copyOf);
  }
}
