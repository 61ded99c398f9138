package dev.caroblb.admission;

import dev.caroblb.core.CallRequest;

/** A call that starts now at a target. */
public record Dispatch(CallRequest request, CallTarget target, int attempt) {}
