package dev.caroblb.forwarding;

/**
 * Memory of a generation that was copied to another engine.
 *
 * @param source address of the engine it was copied from
 * @param handle identifies the copy
 */
public record CopiedMemory(String source, String handle) {}
