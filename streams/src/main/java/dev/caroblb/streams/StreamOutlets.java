package dev.caroblb.streams;

import dev.caroblb.core.Outlet;

/** Outlets of the streams duty. */
public record StreamOutlets(
    Outlet<EngineCommand> engines,
    Outlet<KeyCommand> keys,
    Outlet<CallOutcome> outcomes,
    Outlet<CallProgress> progress) {}
