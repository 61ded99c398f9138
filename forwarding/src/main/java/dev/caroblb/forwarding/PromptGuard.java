package dev.caroblb.forwarding;

import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.forwarding.quarantine.PromptPart;
import dev.caroblb.forwarding.quarantine.PromptQuarantine;
import dev.caroblb.forwarding.quarantine.Quarantine;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetInfo;
import java.util.Optional;

/** Derives evidence of crashed engines from exchanges, and holds back quarantined prompts. */
final class PromptGuard {
  private final PromptQuarantine quarantine;
  private final EvidenceExchange evidence;

  PromptGuard(PromptQuarantine quarantine, EvidenceExchange evidence) {
    this.quarantine = quarantine;
    this.evidence = evidence;
  }

  /**
   * Records that the connection of the current attempt broke. An engine that is leaving closes its
   * connections, and a request that had events did not crash its engine by beginning to generate.
   */
  void connectionBroken(Exchange exchange, long nowMs) {
    Optional<Target> target = exchange.target().filter(engine -> !engine.leaving());
    boolean begun = exchange.streaming() && exchange.progress() == AttemptProgress.CONTENT;
    if (target.isEmpty() || begun) {
      return;
    }
    TargetInfo engine = target.get().info();
    boolean changed =
        quarantine.crashed(
            engine.id(),
            engine.incarnation(),
            exchange.call().sharedPromptParts(),
            exchange.sentMs(),
            nowMs);
    if (changed) {
      evidence.sendSoon();
    }
  }

  /**
   * Records that an engine generated on the prompt of the current attempt. An attempt that
   * continues from copied memory shows nothing, since its generation began at another engine.
   */
  void answered(Exchange exchange, long nowMs) {
    boolean generated = !exchange.continuesFromCopy();
    if (generated && quarantine.answered(exchange.call().sharedPromptParts(), nowMs)) {
      evidence.sendSoon();
    }
  }

  /** Records a heartbeat of an engine. */
  void heartbeatReceived(TargetInfo engine, long nowMs) {
    quarantine.alive(engine.id(), engine.incarnation(), nowMs);
  }

  /** Why a request must not be sent to an engine; empty if it may. */
  Optional<Refusal> blocking(ForwardCall call, long nowMs) {
    return quarantine.blocking(call.sharedPromptParts(), nowMs).map(PromptGuard::refusal);
  }

  private static Refusal refusal(Quarantine blocking) {
    return Refusal.of(
            RefusalReason.PROMPT_QUARANTINED,
            "the request or a part of its prompt crashes targets: "
                + PromptPart.toLogValue(blocking.parts()))
        .retryAfter(blocking.leftMs());
  }

  /** Whether any part of a prompt is quarantined. */
  boolean isActive() {
    return quarantine.isActive();
  }
}
