package dev.caroblb.admission;

import dev.caroblb.core.CallRequest;

/** A call to be sent to a target. */
public record Dispatch(CallRequest request, CallTarget target, int attempt) {}
