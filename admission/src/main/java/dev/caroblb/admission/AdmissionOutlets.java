package dev.caroblb.admission;

import dev.caroblb.core.Outlet;

/**
 * Outlets of the admission duty.
 *
 * @param placement requests to the placement duty
 * @param dispatch calls to start, to the streams duty
 * @param refusals refused calls, to be answered to their callers
 */
public record AdmissionOutlets(
    Outlet<PlacementCommand> placement, Outlet<Dispatch> dispatch, Outlet<CallRefused> refusals) {}
