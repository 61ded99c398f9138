package dev.caroblb.pacing;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetRun;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Announcements of a control instance about paced targets, from the reports of all entries that use
 * it. The learned rates are repeated, since messages may be lost.
 */
public final class PaceAnnouncer {
  /** Interval in milliseconds at which rates are adjusted and changes announced. */
  private static final long INTERVAL_MS = 100;

  /** Interval in milliseconds at which unchanged rates are announced again. */
  private static final long REPEAT_MS = 1_000;

  /** Time in milliseconds for which the absence of rates is repeated. */
  private static final long REPEAT_END_MS = 10_000;

  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final TargetLimits limits;
  private final Supplier<Collection<InstanceId>> entries;
  private final Set<TargetRun> pending = new LinkedHashSet<>();
  private boolean changed;
  private long tickedMs = Long.MIN_VALUE / 2;
  private long sentMs = Long.MIN_VALUE / 2;
  private long lastPacedMs = Long.MIN_VALUE / 2;

  /**
   * @param entries the entries that use this control instance
   */
  public PaceAnnouncer(
      Outlet<PeerEnvelope<PeerMessage>> peers,
      TargetLimits limits,
      Supplier<Collection<InstanceId>> entries) {
    this.peers = peers;
    this.limits = limits;
    this.entries = entries;
  }

  /**
   * Adds the report of an entry. Rates of another control instance that it names are announced, or
   * end with the announcement if they are not taken over.
   */
  public void reported(PeerMessage.PaceReport report, long nowMs) {
    if (!report.paces().isEmpty()) {
      changed = true;
      lastPacedMs = nowMs;
    }
    for (WarmUpStatement statement : report.warmUps()) {
      if (limits.received(statement, nowMs)) {
        pending.add(statement.run());
      }
    }
    limits
        .learned()
        .ifPresent(
            learned -> {
              report.paces().forEach(pace -> learned.adopt(pace, nowMs));
              report.outcomes().forEach(outcomes -> learned.add(outcomes, nowMs));
            });
  }

  private boolean paced() {
    return limits.learned().filter(learned -> learned.count() > 0).isPresent();
  }

  public long nextMs() {
    boolean active = !pending.isEmpty() || paced() || tickedMs - lastPacedMs < REPEAT_END_MS;
    return active ? tickedMs + INTERVAL_MS : Long.MAX_VALUE;
  }

  public void tick(long nowMs) {
    if (nowMs < nextMs()) {
      return;
    }
    tickedMs = nowMs;
    changed |= limits.decideRates(nowMs);
    if (paced()) {
      lastPacedMs = nowMs;
    }
    boolean repeat = nowMs - lastPacedMs < REPEAT_END_MS && nowMs - sentMs >= REPEAT_MS;
    if (changed || repeat || !pending.isEmpty()) {
      announce(nowMs);
    }
  }

  private void announce(long nowMs) {
    sentMs = nowMs;
    changed = false;
    List<WarmUpStatement> warmUps = new ArrayList<>();
    for (TargetRun run : pending) {
      if (warmUps.size() < WarmUpStatement.MAX_STATEMENTS) {
        limits.warmUpStatement(run, nowMs).ifPresent(warmUps::add);
      }
    }
    pending.clear();
    List<LimitStatement> paces = limits.learned().map(LearnedRates::statements).orElse(List.of());
    PeerMessage announcement = new PeerMessage.PaceAnnouncement(warmUps, paces);
    for (InstanceId entry : entries.get()) {
      boolean unused = peers.offer(new PeerEnvelope<>(entry, announcement));
    }
  }
}
