package dev.caroblb.admission;

import dev.caroblb.core.Outlet;

/**
 * Where the admission duty sends its results.
 *
 * @param placement questions to the placement duty
 * @param dispatch calls that start, to the duty that runs them
 * @param refusals calls that do not start, to the caller's side
 */
public record AdmissionOutlets(
    Outlet<PlacementCommand> placement, Outlet<Dispatch> dispatch, Outlet<CallRefused> refusals) {}
