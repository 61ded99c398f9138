package dev.caroblb.routing;

/**
 * Reason why a document was rejected.
 *
 * @param message description of the error and how to fix it
 */
public record RoutingError(String message) {}
