package dev.caroblb.cli;

import java.util.Optional;

/**
 * What a load run sends.
 *
 * @param path path of the call
 * @param body body of each call
 * @param token token of the workspace
 * @param ratePerSecond calls started each second
 * @param seconds time for which calls are started
 * @param drainSeconds time that running calls get to finish afterwards
 * @param deadlineMs deadline sent with each call
 * @param idempotencyKeys whether each call gets a new idempotency key
 * @param maxRunning calls that may run at once; further ones are not sent
 */
record LoadPlan(
    String path,
    String body,
    Optional<String> token,
    double ratePerSecond,
    long seconds,
    long drainSeconds,
    Optional<Long> deadlineMs,
    boolean idempotencyKeys,
    int maxRunning) {}
