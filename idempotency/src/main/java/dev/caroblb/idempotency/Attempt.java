package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;

/**
 * One attempt of an entry instance to run a call. The incarnation distinguishes the attempts of a
 * restarted entry from earlier ones, so that a restarted entry never holds a reservation of its
 * previous process.
 *
 * @param entry the entry instance
 * @param incarnation incarnation of the entry's process
 * @param call id of the call, unique within the incarnation
 */
public record Attempt(InstanceId entry, long incarnation, long call) {}
