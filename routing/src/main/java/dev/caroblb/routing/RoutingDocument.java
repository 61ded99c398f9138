package dev.caroblb.routing;

import dev.caroblb.core.Payload;

/**
 * A routing table as it was published.
 *
 * @param number orders the documents; the greatest accepted one is in force
 * @param body the bytes that were published, which reads return unchanged
 */
public record RoutingDocument(long number, Payload body) {}
