package dev.caroblb.core;

import java.util.Optional;

/**
 * Settings from a team file for all calls of one name.
 *
 * @param call name of the call
 * @param model model that serves the call; empty if a plain service does
 * @param service plain service that serves the call; empty if a model does
 * @param streams whether the answer is an event stream
 * @param priority 0 (lowest) to 9 (highest), passed to engines
 * @param defaultTimeoutMs time limit in milliseconds when the caller sets none
 * @param repeatable whether the call may run more than once
 * @param prefixLocality whether a cached prompt prefix saves time for it
 * @param callClass expected length of the answer, which selects the admission lane
 */
public record CallPolicy(
    String call,
    Optional<ModelId> model,
    Optional<String> service,
    boolean streams,
    int priority,
    long defaultTimeoutMs,
    boolean repeatable,
    boolean prefixLocality,
    CallClass callClass) {
  public CallPolicy {
    Names.requireValid("call", call);
    if (model.isPresent() == service.isPresent()) {
      throw new IllegalArgumentException(
          "call " + call + " must name exactly one of a model and a service");
    }
  }

  /** Name of the model or service that a target must serve to receive the call. */
  public String modelOrService() {
    return model.map(ModelId::toString).or(() -> service).orElseThrow();
  }
}
