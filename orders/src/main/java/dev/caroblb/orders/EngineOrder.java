package dev.caroblb.orders;

import dev.caroblb.core.ModelId;
import dev.caroblb.core.TargetId;

/**
 * Order to one engine. It names the wanted state and is therefore idempotent.
 *
 * @param target the engine
 * @param fencing fencing token: the term of the control leader that issued the order
 * @param kind kind of the order
 * @param model the model concerned
 * @param sendBeforeMs monotonic time from which the order must not be sent any more; a connection
 *     that still carries it is closed then
 */
public record EngineOrder(
    TargetId target, long fencing, OrderKind kind, ModelId model, long sendBeforeMs) {}
