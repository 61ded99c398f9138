package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * A stream that broke off and that its caller takes up after the last event it has.
 *
 * @param firstAttempt request ID of the attempt that brought the first event, if the caller says it
 */
public record StreamTakeUp(Optional<String> firstAttempt) {}
