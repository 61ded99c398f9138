package dev.caroblb.routing;

/**
 * Why a document was refused.
 *
 * @param message what is wrong and how to mend it
 */
public record RoutingError(String message) {}
