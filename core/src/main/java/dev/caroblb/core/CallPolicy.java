package dev.caroblb.core;

import java.util.Optional;

/**
 * How calls of one name are treated, as a team file states it.
 *
 * @param call name of the call
 * @param model model that serves it, absent for a call of a plain service
 * @param service service that serves it, absent for a call of a model
 * @param streams whether the answer is an event stream
 * @param priority 0 (lowest) to 9 (highest), passed to engines
 * @param deadlineMs time allowed when the caller names none
 * @param repeatable whether the call may run more than once
 * @param prefixLocality whether a cached prompt prefix saves time for it
 * @param callClass lane of the call
 */
public record CallPolicy(
    String call,
    Optional<ModelId> model,
    Optional<String> service,
    boolean streams,
    int priority,
    long deadlineMs,
    boolean repeatable,
    boolean prefixLocality,
    CallClass callClass) {
  public CallPolicy {
    Names.check("call", call);
    if (model.isPresent() == service.isPresent()) {
      throw new IllegalArgumentException(
          "call " + call + " needs either a model or a service, exactly one of them");
    }
  }

  /** Name of the model or service, by which targets are found. */
  public String targetKind() {
    return model.map(ModelId::toString).or(() -> service).orElseThrow();
  }
}
