package dev.caroblb.routing;

/** Command of the replicated routing state. */
public sealed interface RoutingCommand {
  /** Accepts the document unless one with the same or a greater number is accepted. */
  record Accept(RoutingDocument document) implements RoutingCommand {}

  /** Changes nothing; once it is applied, all commands committed before it are applied as well. */
  record Barrier() implements RoutingCommand {}
}
