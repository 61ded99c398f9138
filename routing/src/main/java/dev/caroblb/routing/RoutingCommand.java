package dev.caroblb.routing;

/** Command of the replicated routing state. */
public sealed interface RoutingCommand {
  /** Makes the document active unless the active one has the same or a greater number. */
  record Accept(RoutingDocument document) implements RoutingCommand {}

  /** Changes nothing; once it is applied, all commands committed before it are applied as well. */
  record Barrier() implements RoutingCommand {}
}
