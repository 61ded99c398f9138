package dev.caroblb.forwarding;

/**
 * Asks an engine to copy the memory of a running generation.
 *
 * @param call the request that the generation answers
 * @param attempt the attempt that runs at the source
 * @param source address of the engine that runs it
 * @param destination address of the engine that gets the copy
 * @param last whether the generation stops at the source
 */
public record MoveOrder(
    ForwardCall call, int attempt, String source, String destination, boolean last) {}
