package dev.caroblb.bench;

import dev.caroblb.standins.engine.EngineRequest;

/**
 * A call as it arrives.
 *
 * @param atUs intended time of arrival
 * @param type its type
 * @param workspace number of its workspace
 * @param entry number of the instance that its caller chose
 * @param request what the engine will be asked, with the priority of the team file
 */
record Arrival(long atUs, CallType type, int workspace, int entry, EngineRequest request) {}
