package dev.caroblb.bench;

import dev.caroblb.standins.engine.EngineRequest;

/**
 * Arrival of a call.
 *
 * @param atUs scheduled time of arrival
 * @param type type of the call
 * @param workspace index of the workspace
 * @param entry index of the entry that the caller chose
 * @param request request to the engine, with the priority of the team file
 */
record Arrival(long atUs, CallType type, int workspace, int entry, EngineRequest request) {}
