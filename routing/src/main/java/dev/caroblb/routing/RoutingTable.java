package dev.caroblb.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An immutable version of the routes, services, limits and API keys. */
public final class RoutingTable {
  private final long number;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, Service> services;
  private final CallerLimits limits;
  private final Optional<Map<String, Workspace>> workspacesByKey;

  /**
   * Creates a table.
   *
   * @param workspacesByKey workspace of each API key; empty if requests need no key
   */
  public RoutingTable(
      long number,
      List<Route> routes,
      Map<String, Service> services,
      CallerLimits limits,
      Optional<Map<String, Workspace>> workspacesByKey) {
    this.number = number;
    this.services = Map.copyOf(services);
    this.limits = limits;
    this.workspacesByKey = workspacesByKey.map(Map::copyOf);
    routesByHost = new HashMap<>();
    for (Route route : routes) {
      routesByHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    for (List<Route> ofHost : routesByHost.values()) {
      ofHost.sort((a, b) -> b.prefix().length() - a.prefix().length());
    }
  }

  public long number() {
    return number;
  }

  public CallerLimits limits() {
    return limits;
  }

  /** Returns the route of the host with the longest matching path prefix. */
  public Optional<Route> match(String host, String path) {
    for (Route route : routesByHost.getOrDefault(host, List.of())) {
      if (path.startsWith(route.prefix())) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  public Optional<Service> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Limits of the engines of each service that has engines. */
  public Map<String, EngineLimits> engines() {
    Map<String, EngineLimits> engines = new HashMap<>();
    for (Service service : services.values()) {
      service.engine().ifPresent(engine -> engines.put(service.name(), engine));
    }
    return engines;
  }

  /** Warm-up of the targets of each service that names one. */
  public Map<String, WarmUp> warmUps() {
    Map<String, WarmUp> warmUps = new HashMap<>();
    for (Service service : services.values()) {
      service.warmUp().ifPresent(warmUp -> warmUps.put(service.name(), warmUp));
    }
    return warmUps;
  }

  /** Whether requests need an API key, except on routes that require none. */
  public boolean requiresKeys() {
    return workspacesByKey.isPresent();
  }

  /** Returns the workspace of an API key. */
  public Optional<Workspace> workspace(String key) {
    return workspacesByKey.map(keys -> keys.get(key));
  }
}
