package dev.caroblb.pacing;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetRun;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Exchanges the request limits of targets. An entry reports what it hears to all control instances;
 * the one that entries report their load to announces changes to them. Only changes are sent, and
 * everything to an instance that is new. An entry repeats what it hears again, since messages may
 * be lost.
 */
public final class LimitExchange {
  private static final System.Logger LOGGER = System.getLogger(LimitExchange.class.getName());

  /** Minimum interval in milliseconds between two messages to the same instances. */
  private static final long MIN_INTERVAL_MS = 100;

  /** Interval in milliseconds after which an unchanged limit is reported again when heard. */
  private static final long REPEAT_MS = 1_000;

  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final TargetLimits limits;
  private final Supplier<Collection<InstanceId>> reporters;
  private final Map<TargetRun, Long> reportedMs = new HashMap<>();
  private final Set<TargetRun> pending = new LinkedHashSet<>();
  private List<InstanceId> controlInstances = List.of();
  private Optional<InstanceId> coordinator = Optional.empty();
  private boolean awaitsAll;
  private long askAgainMs;
  private long lastSentMs = Long.MIN_VALUE / 2;

  /**
   * @param reporters the entries to which a control instance announces limits
   */
  public LimitExchange(
      Outlet<PeerEnvelope<PeerMessage>> peers,
      TargetLimits limits,
      Supplier<Collection<InstanceId>> reporters) {
    this.peers = peers;
    this.limits = limits;
    this.reporters = reporters;
  }

  /** Sets the control instances to report to; none at a control instance. */
  public void setControlInstances(List<InstanceId> instances) {
    controlInstances = instances;
  }

  /** Sends all known limits to the control instance that is used from now on, and asks for its. */
  public void useCoordinator(InstanceId instance, long nowMs) {
    if (coordinator.equals(Optional.of(instance))) {
      return;
    }
    coordinator = Optional.of(instance);
    awaitsAll = true;
    askForAll(nowMs);
  }

  /** Sends all known limits to the control instance in use, which does not know one of them. */
  public void reportAll(long nowMs) {
    if (coordinator.isPresent() && nowMs >= askAgainMs) {
      askForAll(nowMs);
    }
  }

  private void askForAll(long nowMs) {
    askAgainMs = nowMs + REPEAT_MS;
    send(
        List.of(coordinator.orElseThrow()), PeerMessage.LimitReport::new, limits.statements(nowMs));
  }

  /** Records what a target said about its limit in a response to this instance. */
  public void heard(TargetRun run, Optional<Double> perSecond, long sentMs, long nowMs) {
    boolean changed = limits.heard(run, perSecond, sentMs, nowMs);
    boolean repeat =
        limits.statement(run, nowMs).isPresent()
            && nowMs - reportedMs.getOrDefault(run, Long.MIN_VALUE / 2) >= REPEAT_MS;
    if (changed) {
      log(run, "response", nowMs);
    }
    if (changed || repeat) {
      reportedMs.put(run, nowMs);
      pending.add(run);
    }
  }

  /** Adds the statements of an entry, which may ask for those of this control instance. */
  public void reported(InstanceId entry, PeerMessage.LimitReport report, long nowMs) {
    received(report.statements(), nowMs);
    if (report.wantsAll()) {
      send(List.of(entry), LimitExchange::announcement, limits.statements(nowMs));
    }
  }

  /** Adds the statements that a control instance announced. */
  public void announced(InstanceId control, List<LimitStatement> statements, long nowMs) {
    if (coordinator.equals(Optional.of(control))) {
      awaitsAll = false;
    }
    received(statements, nowMs);
  }

  /** Adds statements of another instance. A control instance announces the changes. */
  private void received(List<LimitStatement> statements, long nowMs) {
    for (LimitStatement statement : statements) {
      if (!limits.received(statement, nowMs)) {
        continue;
      }
      log(statement.run(), "peer", nowMs);
      if (controlInstances.isEmpty()) {
        pending.add(statement.run());
      }
    }
  }

  private void log(TargetRun run, String source, long nowMs) {
    Optional<Double> perSecond = limits.statement(run, nowMs).flatMap(LimitStatement::perSecond);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("target.limit")
            .with("target", run.target())
            .with("per_second", perSecond.map(String::valueOf).orElse("none"))
            .with("source", source)
            .toString());
  }

  public long nextMs() {
    long changesMs = pending.isEmpty() ? Long.MAX_VALUE : lastSentMs + MIN_INTERVAL_MS;
    return awaitsAll ? Math.min(changesMs, askAgainMs) : changesMs;
  }

  public void tick(long nowMs) {
    if (awaitsAll && nowMs >= askAgainMs) {
      askForAll(nowMs);
    }
    if (!pending.isEmpty()) {
      sendChanges(nowMs);
    }
  }

  private void sendChanges(long nowMs) {
    lastSentMs = nowMs;
    List<LimitStatement> changes = new ArrayList<>();
    for (TargetRun run : pending) {
      limits.statement(run, nowMs).ifPresent(changes::add);
    }
    pending.clear();
    reportedMs.keySet().removeIf(run -> limits.statement(run, nowMs).isEmpty());
    if (controlInstances.isEmpty()) {
      send(reporters.get(), LimitExchange::announcement, changes);
    } else {
      send(
          controlInstances,
          (statements, last) -> new PeerMessage.LimitReport(statements, false),
          changes);
    }
  }

  private interface Message {
    PeerMessage of(List<LimitStatement> statements, boolean last);
  }

  private static PeerMessage announcement(List<LimitStatement> statements, boolean last) {
    return new PeerMessage.LimitAnnouncement(statements);
  }

  /** Sends statements in messages of limited size; at least one message is sent. */
  private void send(
      Collection<InstanceId> instances, Message message, List<LimitStatement> statements) {
    int from = 0;
    do {
      int to = Math.min(statements.size(), from + LimitStatement.MAX_STATEMENTS);
      PeerMessage part = message.of(statements.subList(from, to), to == statements.size());
      for (InstanceId instance : instances) {
        boolean unused = peers.offer(new PeerEnvelope<>(instance, part));
      }
      from = to;
    } while (from < statements.size());
  }
}
