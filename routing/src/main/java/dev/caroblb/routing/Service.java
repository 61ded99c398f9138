package dev.caroblb.routing;

import java.util.Optional;

/**
 * A set of targets that serve the same requests.
 *
 * @param name service name that targets announce
 * @param maxConnections maximum number of connections to one target from all instances together
 * @param engine limits of its engines; empty for a plain service
 * @param warmUp warm-up of its targets; empty if they need none
 */
public record Service(
    String name, int maxConnections, Optional<EngineLimits> engine, Optional<WarmUp> warmUp) {
  /** A service whose targets need no warm-up. */
  public Service(String name, int maxConnections, Optional<EngineLimits> engine) {
    this(name, maxConnections, engine, Optional.empty());
  }
}
