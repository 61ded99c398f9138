package dev.caroblb.routing;

/** Messages between the routing handlers of two instances. */
public sealed interface PeerMessage {
  /** Number of the active document of the sender; 0 if there is none. */
  record ActiveNumber(long number) implements PeerMessage {}

  /** An accepted document. */
  record Accepted(RoutingDocument document) implements PeerMessage {}
}
