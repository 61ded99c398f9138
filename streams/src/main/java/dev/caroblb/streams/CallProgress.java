package dev.caroblb.streams;

/** Number of tokens that a running call has received so far. */
public record CallProgress(long call, long tokens) {}
