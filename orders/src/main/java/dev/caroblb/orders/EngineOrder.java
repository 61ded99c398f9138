package dev.caroblb.orders;

import dev.caroblb.core.ModelId;
import dev.caroblb.core.TargetId;

/**
 * Order to one engine. It names a wanted state, so that applying it twice changes nothing.
 *
 * @param target the engine
 * @param fencing term of the control leader that gave the order
 * @param kind what the engine shall do
 * @param model the model concerned
 * @param sendBeforeMs monotonic time from which the order must not be sent any more, and at which
 *     its connection is closed
 */
public record EngineOrder(
    TargetId target, long fencing, OrderKind kind, ModelId model, long sendBeforeMs) {}
