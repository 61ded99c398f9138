package dev.caroblb.forwarding;

import dev.caroblb.targets.Target;

/**
 * Instruction to copy the memory of a running generation to another engine.
 *
 * @param call the request of the generation
 * @param attempt the attempt that runs at the source
 * @param source address of the engine that runs it
 * @param destination address of the engine that gets the copy
 * @param finalCopy whether the generation stops at the source, which makes this the final copy
 */
public record MoveOrder(
    ForwardCall call, int attempt, String source, String destination, boolean finalCopy) {
  /** An order to copy the memory of the generation that an exchange runs at the source. */
  static MoveOrder of(Exchange exchange, Target source, Target destination, boolean finalCopy) {
    return new MoveOrder(
        exchange.call(),
        exchange.attempt(),
        source.info().address(),
        destination.info().address(),
        finalCopy);
  }
}
