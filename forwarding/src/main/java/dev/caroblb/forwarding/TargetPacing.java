package dev.caroblb.forwarding;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetRun;
import dev.caroblb.pacing.LimitExchange;
import dev.caroblb.pacing.OutcomeCounter;
import dev.caroblb.pacing.PaceReporter;
import dev.caroblb.pacing.PeerMessage;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Service;
import dev.caroblb.scheduling.PeerMessage.PermitReply;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetInfo;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** What this instance observes and knows of the rates at which targets may get requests. */
final class TargetPacing {
  /** An answer after the latency objective divided by this counts as slow. */
  private static final int SLOW_DIVISOR = 2;

  private final TargetLimits limits;
  private final LimitExchange limitExchange;
  private final PaceReporter reporter;
  private Optional<RoutingTable> table = Optional.empty();

  TargetPacing(Outlet<PeerEnvelope<PeerMessage>> peers, RandomGenerator random) {
    limits = TargetLimits.ofEntry(random);
    limitExchange = new LimitExchange(peers, limits, List::of);
    reporter = new PaceReporter(peers, limits);
  }

  TargetLimits limits() {
    return limits;
  }

  void setTable(RoutingTable installed) {
    table = Optional.of(installed);
    limits.setWarmUps(installed.warmUps());
  }

  void setControlInstances(List<InstanceId> controlInstances) {
    limitExchange.setControlInstances(controlInstances);
    reporter.setControlInstances(controlInstances);
  }

  void available(ForwardingMessage.TargetAvailable available, long nowMs) {
    TargetInfo target = available.target();
    limits.available(target.run(), target.service(), target.domain(), available.warmUp(), nowMs);
  }

  /** Applies what a target says about its rate in a sound response, and counts the response. */
  void head(Exchange exchange, ResponseHead head, long nowMs) {
    Optional<Target> target = exchange.target();
    if (target.isEmpty()) {
      return;
    }
    TargetRun run = target.get().info().run();
    if (head.sentByTarget()) {
      limitExchange.heard(run, head.notice().requestsPerSecond(), exchange.sentMs(), nowMs);
      head.notice()
          .warmUpLeftMs()
          .ifPresent(leftMs -> reporter.warmUpHeard(run, leftMs, exchange.sentMs(), nowMs));
    }
    outcomes(exchange).ifPresent(counter -> count(counter, run, exchange, head, nowMs));
  }

  private static void count(
      OutcomeCounter counter, TargetRun run, Exchange exchange, ResponseHead head, long nowMs) {
    if (head.refused()) {
      counter.rejected(run);
    } else if (!head.sentByTarget() || head.serverError()) {
      counter.failed(run);
    } else {
      long objectiveMs = exchange.route().objectiveMs();
      counter.answered(run, (nowMs - exchange.sentMs()) * SLOW_DIVISOR > objectiveMs);
    }
  }

  /**
   * Counts a request that its target has failed or not answered in time; not one that it was told
   * to stop.
   */
  void failed(Exchange exchange) {
    Optional<Target> target = exchange.target();
    if (target.isPresent() && !exchange.stopOrdered()) {
      outcomes(exchange).ifPresent(counter -> counter.failed(target.get().info().run()));
    }
  }

  /** The counter of outcomes, if the rates of the targets of the service may be learned. */
  private Optional<OutcomeCounter> outcomes(Exchange exchange) {
    return table
        .flatMap(known -> known.service(exchange.service()))
        .flatMap(Service::warmUp)
        .map(warmUp -> reporter.outcomes());
  }

  void fromPeer(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.LimitAnnouncement announcement) {
      limitExchange.announced(peer, announcement.statements(), nowMs);
    } else if (message instanceof PeerMessage.PaceAnnouncement announcement) {
      reporter.announced(peer, announcement, nowMs);
    }
  }

  /** Handles a report of the control instance in use, which names the number of instances. */
  void remoteLoadReported(int instances, long nowMs) {
    limits.setShare(1, instances, nowMs);
    limits.expire(nowMs);
    limits.coordinatorHeard(nowMs);
  }

  /** Handles the reply of the control instance in use to a request for a permit. */
  void permitReplied(PermitReply reply, long nowMs) {
    limits.coordinatorHeard(nowMs);
    if (reply.target().isEmpty() && reply.waitMs().isEmpty()) {
      limitExchange.reportAll(nowMs);
      reporter.reportAll(nowMs);
    }
  }

  void tick(Optional<InstanceId> coordinator, long nowMs) {
    coordinator.ifPresent(control -> limitExchange.useCoordinator(control, nowMs));
    coordinator.ifPresent(control -> reporter.useCoordinator(control, nowMs));
    if (nowMs >= limitExchange.nextMs()) {
      limitExchange.tick(nowMs);
    }
    if (nowMs >= reporter.nextMs()) {
      reporter.tick(nowMs);
    }
  }

  long nextMs() {
    return Math.min(limitExchange.nextMs(), reporter.nextMs());
  }
}
