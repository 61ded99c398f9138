package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.targets.SpeedObservations;
import dev.caroblb.targets.TargetPool;
import java.util.Optional;

/** Measures attempts: the speed of their targets, and the bytes between failure domains. */
final class AttemptMeter {
  private final FailureDomain domain;
  private final TargetPool pool;
  private final SpeedObservations observations;
  private final CallObserver observer;

  AttemptMeter(
      FailureDomain domain,
      TargetPool pool,
      SpeedObservations observations,
      CallObserver observer) {
    this.domain = domain;
    this.pool = pool;
    this.observations = observations;
    this.observer = observer;
  }

  /**
   * Records that a request is sent to the target of its current attempt.
   *
   * @param readsPrompt whether the target has to read the prompt, because it has no copied memory
   */
  void sent(Exchange exchange, boolean readsPrompt, long nowMs) {
    boolean wholePrompt = readsPrompt && !exchange.callerStream().begun();
    exchange.setAttemptTiming(
        exchange.tokens() == 0
            ? Optional.empty()
            : exchange
                .target()
                .map(target -> new AttemptTiming(observations, pool, target, wholePrompt, nowMs)));
    if (crossesDomains(exchange)) {
      observer.sentToOtherDomain(exchange.call().bodyBytes());
    }
  }

  /** Records a part of a response. */
  void received(Exchange exchange, long bytes) {
    if (crossesDomains(exchange)) {
      observer.receivedFromOtherDomain(bytes);
    }
  }

  private boolean crossesDomains(Exchange exchange) {
    return exchange.target().filter(target -> !target.info().domain().equals(domain)).isPresent();
  }
}
