package dev.caroblb.streams;

import dev.caroblb.core.Outlet;

/** Where the streams duty sends its messages. */
public record StreamOutlets(
    Outlet<EngineCommand> engines,
    Outlet<KeyCommand> keys,
    Outlet<CallOutcome> outcomes,
    Outlet<CallProgress> progress) {}
