package dev.caroblb.pacing;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetRun;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Reports of an entry about paced targets. All control instances learn which targets said that they
 * are cold; the one in use learns what happened to the requests of this instance.
 */
public final class PaceReporter {
  /** Minimum interval in milliseconds between two reports. */
  private static final long MIN_INTERVAL_MS = 100;

  /** Interval in milliseconds after which a control instance gets all that is known again. */
  private static final long REPEAT_MS = 1_000;

  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final TargetLimits limits;
  private final OutcomeCounter outcomes = new OutcomeCounter();
  private final Set<TargetRun> pending = new LinkedHashSet<>();
  private List<InstanceId> controlInstances = List.of();
  private Optional<InstanceId> coordinator = Optional.empty();
  private long lastSentMs = Long.MIN_VALUE / 2;
  private long allSentMs = Long.MIN_VALUE / 2;

  public PaceReporter(Outlet<PeerEnvelope<PeerMessage>> peers, TargetLimits limits) {
    this.peers = peers;
    this.limits = limits;
  }

  /** Counts what happens to the requests of this instance. */
  public OutcomeCounter outcomes() {
    return outcomes;
  }

  /** Sets the control instances to report to. */
  public void setControlInstances(List<InstanceId> instances) {
    controlInstances = instances;
  }

  /** Sends all that is known to the control instance that is used from now on. */
  public void useCoordinator(InstanceId instance, long nowMs) {
    if (!coordinator.equals(Optional.of(instance))) {
      coordinator = Optional.of(instance);
      sendAll(nowMs);
    }
  }

  /** Sends all that is known to the control instance in use, which does not know a paced target. */
  public void reportAll(long nowMs) {
    if (nowMs - allSentMs >= REPEAT_MS) {
      sendAll(nowMs);
    }
  }

  private void sendAll(long nowMs) {
    allSentMs = nowMs;
    send(
        coordinator.stream().toList(),
        new PeerMessage.PaceReport(
            limited(limits.warmUpStatements(nowMs)),
            List.of(),
            limited(limits.announced().statements())));
  }

  private static <T> List<T> limited(List<T> statements) {
    return statements.subList(0, Math.min(statements.size(), WarmUpStatement.MAX_STATEMENTS));
  }

  /** Records what a target said in a response to this instance about its warm-up. */
  public void warmUpHeard(TargetRun run, long leftMs, long sentMs, long nowMs) {
    if (limits.warmUpHeard(run, leftMs, sentMs, nowMs) && leftMs > 0) {
      pending.add(run);
    }
  }

  /** Adds what a control instance announced. */
  public void announced(InstanceId control, PeerMessage.PaceAnnouncement announcement, long nowMs) {
    for (WarmUpStatement statement : announcement.warmUps()) {
      boolean unused = limits.received(statement, nowMs);
    }
    if (coordinator.equals(Optional.of(control))) {
      limits.announced().replace(announcement.paces(), nowMs);
    }
  }

  public long nextMs() {
    return pending.isEmpty() && outcomes.isEmpty() ? Long.MAX_VALUE : lastSentMs + MIN_INTERVAL_MS;
  }

  public void tick(long nowMs) {
    if (nowMs < nextMs()) {
      return;
    }
    lastSentMs = nowMs;
    List<WarmUpStatement> warmUps = new ArrayList<>();
    pending.forEach(run -> limits.warmUpStatement(run, nowMs).ifPresent(warmUps::add));
    pending.clear();
    if (!warmUps.isEmpty()) {
      send(controlInstances, new PeerMessage.PaceReport(limited(warmUps), List.of(), List.of()));
    }
    List<RunOutcomes> drained = outcomes.drain();
    if (!drained.isEmpty()) {
      send(
          coordinator.stream().toList(), new PeerMessage.PaceReport(List.of(), drained, List.of()));
    }
  }

  private void send(Collection<InstanceId> instances, PeerMessage message) {
    for (InstanceId instance : instances) {
      boolean unused = peers.offer(new PeerEnvelope<>(instance, message));
    }
  }
}
