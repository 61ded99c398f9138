package dev.caroblb.daemon;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Outlet;
import dev.caroblb.idempotency.IdempotencyMessage;
import dev.caroblb.idempotency.KeyDecision;
import dev.caroblb.idempotency.StoredOutcome;
import dev.caroblb.membership.InstanceRecord;
import dev.caroblb.membership.InstanceView;
import dev.caroblb.streams.KeyCommand;
import dev.caroblb.streams.StreamsMessage;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Translates messages between the streams duty and the idempotency duty. */
final class KeyBridge {
  private final Outlet<IdempotencyMessage> idempotency;
  private final Outlet<StreamsMessage> streams;
  private final MillisClock clock;
  private final Map<InstanceId, Long> incarnations = new ConcurrentHashMap<>();

  KeyBridge(
      Outlet<IdempotencyMessage> idempotency, Outlet<StreamsMessage> streams, MillisClock clock) {
    this.idempotency = idempotency;
    this.streams = streams;
    this.clock = clock;
  }

  /** Passes a command of the streams duty to the idempotency duty. */
  boolean execute(KeyCommand command) {
    if (command instanceof KeyCommand.Reserve reserve) {
      return idempotency.offer(new IdempotencyMessage.Begin(reserve.call(), clock.wallMs()));
    }
    if (command instanceof KeyCommand.StoreOutcome store) {
      StoredOutcome outcome = StoredOutcome.of(store.status(), store.contentType(), store.body());
      return idempotency.offer(new IdempotencyMessage.Finished(store.call().id(), outcome));
    }
    if (command instanceof KeyCommand.Release release) {
      return idempotency.offer(new IdempotencyMessage.NothingSent(release.call().id()));
    }
    KeyCommand.OutcomeLost lost = (KeyCommand.OutcomeLost) command;
    return idempotency.offer(new IdempotencyMessage.OutcomeLost(lost.call().id()));
  }

  /** Passes a decision about an idempotency key to the streams duty. */
  boolean keyDecided(KeyDecision decision) {
    if (decision instanceof KeyDecision.Granted granted) {
      return streams.offer(new StreamsMessage.KeyGranted(granted.call()));
    }
    if (decision instanceof KeyDecision.Stored stored) {
      StoredOutcome outcome = stored.outcome();
      return streams.offer(
          new StreamsMessage.KeyOutcome(
              stored.call(), outcome.status(), contentType(outcome), outcome.body()));
    }
    if (decision instanceof KeyDecision.Refused refused) {
      return streams.offer(new StreamsMessage.KeyRefused(refused.call(), refused.refusal()));
    }
    if (decision instanceof KeyDecision.Released released) {
      return streams.offer(new StreamsMessage.KeyReleased(released.call(), released.committed()));
    }
    return true;
  }

  private static String contentType(StoredOutcome outcome) {
    return outcome.contentType().isEmpty() ? "application/octet-stream" : outcome.contentType();
  }

  /** Tells the idempotency duty which incarnations of instances have ended. */
  boolean instancesChanged(InstanceView view) {
    boolean delivered = true;
    for (InstanceRecord instance : view.instances()) {
      Long known = incarnations.get(instance.id());
      if (known != null && known >= instance.incarnation()) {
        continue;
      }
      boolean offered =
          idempotency.offer(
              new IdempotencyMessage.InstanceGone(instance.id(), instance.incarnation() - 1));
      if (offered) {
        incarnations.put(instance.id(), instance.incarnation());
      }
      delivered &= offered;
    }
    return delivered;
  }
}
