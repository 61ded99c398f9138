package dev.caroblb.cli;

import java.util.Optional;

/**
 * Parameters of a load run.
 *
 * @param path path of the call
 * @param body body of each call
 * @param token token of the workspace
 * @param ratePerSecond calls started per second
 * @param seconds time during which calls are started
 * @param drainSeconds time to wait for running calls afterwards
 * @param deadlineMs time limit sent with each call
 * @param idempotencyKeys whether each call gets a new idempotency key
 * @param maxRunning maximum number of concurrent calls; further ones are not sent
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
