package dev.caroblb.routing;

/** Messages that the routing duties of two instances exchange. */
public sealed interface PeerMessage {
  /** The sender has the document with this number in force; 0 for none. */
  record ActiveNumber(long number) implements PeerMessage {}

  /** An accepted document. */
  record Accepted(RoutingDocument document) implements PeerMessage {}
}
