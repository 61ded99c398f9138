package dev.caroblb.forwarding;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.scheduling.ProcessSequence;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.ReportedSpeeds;
import dev.caroblb.targets.SpeedObservations;
import dev.caroblb.targets.TargetLoad;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Requests targets from a control instance and reports the load of this instance to it. All
 * instances use the same control instance; if it does not reply, each switches to the next one.
 */
final class CoordinatorClient {
  /** Minimum interval in milliseconds between two load reports. */
  private static final long MIN_REPORT_INTERVAL_MS = 50;

  /** Unchanged load is reported again after this time in milliseconds. */
  private static final long REPORT_INTERVAL_MS = 1_000;

  /**
   * Time in milliseconds to wait for a first reply before this instance chooses the target itself.
   * A reply takes two milliseconds between failure domains, and some tens of milliseconds from a
   * busy instance.
   */
  private static final long REPLY_TIMEOUT_MS = 60;

  /** Number of consecutive timeouts after which another control instance is used. */
  private static final int MAX_CONSECUTIVE_TIMEOUTS = 2;

  /** Time in milliseconds without any message after which another control instance is used. */
  private static final long SILENCE_TIMEOUT_MS = 2_500;

  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final ProcessSequence tickets;
  private final Map<Long, Long> callByTicket = new HashMap<>();
  private List<InstanceId> controlInstances = List.of();
  private final SpeedObservations observations = new SpeedObservations();
  private final ReportedSpeeds speeds = new ReportedSpeeds();
  private int currentIndex;
  private int consecutiveTimeouts;
  private long lastGrant;
  private List<TargetLoad> lastReport = List.of();
  private long lastReportMs = Long.MIN_VALUE / 2;
  private long lastReceivedMs;
  private long lastTickMs = Long.MIN_VALUE / 2;
  private long nextMs;

  CoordinatorClient(Outlet<PeerEnvelope<PeerMessage>> peers, ProcessSequence tickets) {
    this.peers = peers;
    this.tickets = tickets;
  }

  /**
   * Sets the control instances, which all instances use in the same order. After a change this
   * instance starts with the first one again, so that all instances use the same one.
   */
  void setControlInstances(List<InstanceId> instances) {
    List<InstanceId> sorted =
        instances.stream().sorted(Comparator.comparing(InstanceId::name)).toList();
    if (!sorted.equals(controlInstances)) {
      controlInstances = sorted;
      switchTo(0);
    }
  }

  private void switchTo(int index) {
    currentIndex = index;
    consecutiveTimeouts = 0;
    lastGrant = 0;
    lastReportMs = Long.MIN_VALUE / 2;
    nextMs = 0;
  }

  /**
   * Requests a target; returns the time until which to wait for a reply, or empty if there is no
   * control instance.
   */
  Optional<Long> requestPlacement(Exchange exchange, PlacementNeed need, long nowMs) {
    if (controlInstances.isEmpty()) {
      return Optional.empty();
    }
    cancelPlacement(exchange);
    long ticket = tickets.next();
    callByTicket.put(ticket, exchange.call().id());
    long replyByMs = nowMs + REPLY_TIMEOUT_MS;
    exchange.setPendingPlacement(
        new PendingPlacement(ticket, current(), need.purpose(), replyByMs, false));
    send(new PeerMessage.PlacementRequest(ticket, need));
    return Optional.of(replyByMs);
  }

  /** Processes a final reply; returns its call, unless the placement request was cancelled. */
  Optional<Long> replied(PeerMessage.PlacementReply reply, long nowMs) {
    messageReceived(nowMs);
    lastGrant = reply.grant();
    reportSoon();
    return Optional.ofNullable(callByTicket.remove(reply.ticket()));
  }

  /** Processes a reply about a permit; returns its call, unless the request was cancelled. */
  Optional<Long> replied(PeerMessage.PermitReply reply, long nowMs) {
    messageReceived(nowMs);
    return Optional.ofNullable(callByTicket.remove(reply.ticket()));
  }

  /** Processes a rejection; returns its call, unless the request was cancelled. */
  Optional<Long> replied(PeerMessage.PlacementRejected reply, long nowMs) {
    messageReceived(nowMs);
    return Optional.ofNullable(callByTicket.remove(reply.ticket()));
  }

  /** Processes a queued reply; returns its call, unless the placement request was cancelled. */
  Optional<Long> queued(long ticket, long nowMs) {
    messageReceived(nowMs);
    return Optional.ofNullable(callByTicket.get(ticket));
  }

  /** What this instance measures at targets until it is reported. */
  SpeedObservations observations() {
    return observations;
  }

  /** Learned speeds of targets, from the last remote load report. */
  ReportedSpeeds speeds() {
    return speeds;
  }

  /** Processes a remote load report; returns to the first control instance if that one sent it. */
  void remoteLoadReported(InstanceId control, long nowMs) {
    boolean fromFirst = !controlInstances.isEmpty() && controlInstances.get(0).equals(control);
    if (fromFirst && Math.floorMod(currentIndex, controlInstances.size()) != 0) {
      switchTo(0);
    }
    messageReceived(nowMs);
  }

  private void messageReceived(long nowMs) {
    lastReceivedMs = nowMs;
    consecutiveTimeouts = 0;
  }

  /**
   * Whether a request is queued at the current control instance, so that a reply may still come.
   */
  boolean isQueued(Exchange exchange, long nowMs) {
    return !controlInstances.isEmpty()
        && !silent(nowMs)
        && exchange
            .pendingPlacement()
            .filter(pending -> pending.queued() && pending.control().equals(current()))
            .isPresent();
  }

  private boolean silent(long nowMs) {
    return nowMs - lastReceivedMs >= SILENCE_TIMEOUT_MS;
  }

  /** The control instance that is in use; empty if none is known. */
  Optional<InstanceId> inUse() {
    return controlInstances.isEmpty() ? Optional.empty() : Optional.of(current());
  }

  private InstanceId current() {
    return controlInstances.get(Math.floorMod(currentIndex, controlInstances.size()));
  }

  /** Records a placement timeout; switches to another control instance after several in a row. */
  void timedOut(Exchange exchange) {
    cancelPlacement(exchange);
    if (++consecutiveTimeouts >= MAX_CONSECUTIVE_TIMEOUTS) {
      switchTo(currentIndex + 1);
    }
  }

  /** Cancels a pending placement request whose call ended, was placed here, or needs a new one. */
  void cancelPlacement(Exchange exchange) {
    Optional<PendingPlacement> pending = exchange.pendingPlacement();
    if (pending.isEmpty()) {
      return;
    }
    exchange.clearPendingPlacement();
    callByTicket.remove(pending.get().ticket());
    if (pending.get().queued()) {
      send(pending.get().control(), new PeerMessage.PlacementCancelled(pending.get().ticket()));
    }
  }

  long nextMs() {
    return controlInstances.isEmpty() ? Long.MAX_VALUE : nextMs;
  }

  /** Schedules a load report, because the load may have changed. */
  void reportSoon() {
    nextMs = Math.min(nextMs, lastTickMs + MIN_REPORT_INTERVAL_MS);
  }

  /** Reports the load of this instance if it has changed or the report interval has passed. */
  void tick(List<TargetLoad> loads, long nowMs) {
    lastTickMs = nowMs;
    nextMs = nowMs + REPORT_INTERVAL_MS;
    boolean repeatDue = nowMs - lastReportMs >= REPORT_INTERVAL_MS;
    if (controlInstances.isEmpty() || (loads.equals(lastReport) && !repeatDue)) {
      return;
    }
    if (silent(nowMs)) {
      lastReceivedMs = nowMs;
      switchTo(currentIndex + 1);
      nextMs = nowMs + REPORT_INTERVAL_MS;
    }
    lastReport = loads;
    lastReportMs = nowMs;
    send(new PeerMessage.LoadReport(lastGrant, loads, observations.take(nowMs)));
    if (Math.floorMod(currentIndex, controlInstances.size()) != 0) {
      // A reply of the first control instance shows that it is available again.
      send(controlInstances.get(0), new PeerMessage.LoadReport(0, loads));
    }
  }

  private void send(PeerMessage message) {
    send(current(), message);
  }

  private void send(InstanceId control, PeerMessage message) {
    boolean unused = peers.offer(new PeerEnvelope<>(control, message));
  }
}
