package dev.caroblb.admission;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.Refusal;

/** A call that does not start. */
public record CallRefused(CallRequest request, Refusal refusal) {}
