package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * A request of a caller, as far as decisions depend on it.
 *
 * @param id number of the request at this instance
 * @param requestId identity that the caller gave it
 * @param host value of the host header
 * @param path path without the query
 * @param waitMs time in milliseconds that the caller waits, if it said so
 * @param key key of the caller's workspace, if it sent one
 * @param prompt size of the prompt and of the answer, if it is a generation
 * @param port where the answer goes
 */
public record ForwardCall(
    long id,
    String requestId,
    String host,
    String path,
    Optional<Long> waitMs,
    Optional<String> key,
    Optional<GenerationSize> prompt,
    CallerPort port) {}
