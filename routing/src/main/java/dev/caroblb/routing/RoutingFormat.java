package dev.caroblb.routing;

import dev.caroblb.core.Payload;
import io.vavr.control.Either;

/** Format in which routing tables are published. */
@FunctionalInterface
public interface RoutingFormat {
  /** Parses and validates a complete document. */
  Either<RoutingError, RoutingTable> read(Payload body);
}
