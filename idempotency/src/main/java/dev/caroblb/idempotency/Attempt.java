package dev.caroblb.idempotency;

import dev.caroblb.core.InstanceId;

/**
 * One attempt of an entry instance to run a call. The incarnation makes the attempts of a restarted
 * entry different, so that a reservation is granted to one run of one instance only.
 *
 * @param entry the entry instance
 * @param incarnation identity of its run
 * @param call identity of the call within that run
 */
public record Attempt(InstanceId entry, long incarnation, long call) {}
