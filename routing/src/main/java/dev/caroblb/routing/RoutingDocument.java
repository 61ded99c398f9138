package dev.caroblb.routing;

import dev.caroblb.core.Payload;

/**
 * A published routing table in serialized form.
 *
 * @param number version number; the accepted document with the greatest number is active
 * @param body the published bytes, which reads return unchanged
 */
public record RoutingDocument(long number, Payload body) {}
