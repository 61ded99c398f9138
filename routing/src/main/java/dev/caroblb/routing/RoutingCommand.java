package dev.caroblb.routing;

/** Command of the replicated routing state. */
public sealed interface RoutingCommand {
  /** Puts the document in force unless one with the same or a greater number is. */
  record Accept(RoutingDocument document) implements RoutingCommand {}

  /** Changes nothing; once applied, everything accepted before is known. */
  record Barrier() implements RoutingCommand {}
}
