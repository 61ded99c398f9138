package dev.caroblb.admission;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.Refusal;

/** A call that is refused without a further attempt. */
public record CallRefused(CallRequest request, Refusal refusal) {}
