package dev.caroblb.agreement;

import dev.caroblb.core.Payload;

/** One entry of the replicated log; the first index is 1. */
public record LogEntry(long index, long term, EntryKind kind, Payload payload) {}
