package dev.caroblb.evacuation;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Accepts the orders of operators, keeps the newest known state, puts it into force at this
 * instance and distributes it. An order is acknowledged once the control group has committed it,
 * also if it changes nothing: only a commit shows that no other order has changed the state since.
 */
public final class EvacuationHandler implements DutyHandler<EvacuationMessage> {
  private static final System.Logger LOGGER = System.getLogger(EvacuationHandler.class.getName());

  /**
   * Timeout of a proposal in milliseconds; operators switch to another instance after one second.
   */
  static final long PROPOSAL_TIMEOUT_MS = 900;

  /** Interval in milliseconds between two attempts to deliver a state to a full queue. */
  static final long DELIVERY_RETRY_MS = 20;

  private record PendingOrder(
      EvacuationCommand command, Outlet<OrderOutcome> reply, long deadlineMs) {}

  private final CommandProposer proposer;
  private final EvacuationOutlets outlets;
  private final StateDistribution distribution;
  private final Map<Long, PendingOrder> pending = new HashMap<>();
  private EvacuationState current = EvacuationState.NONE;
  private EvacuationState latestApplied = EvacuationState.NONE;
  private Optional<EvacuationState> undelivered = Optional.empty();
  private Optional<InstanceId> leader = Optional.empty();
  private boolean isLeader;
  private long nextProposal;
  private long nextDeliveryMs;

  public EvacuationHandler(CommandProposer proposer, EvacuationOutlets outlets) {
    this.proposer = proposer;
    this.outlets = outlets;
    distribution = new StateDistribution(outlets.peers());
  }

  @Override
  public void handle(EvacuationMessage message, long nowMs) {
    if (message instanceof EvacuationMessage.Applied applied) {
      applied(applied.state());
      return;
    }
    install(latestApplied, true, nowMs);
    if (message instanceof EvacuationMessage.Order order) {
      ordered(order, nowMs);
    } else if (message instanceof EvacuationMessage.Proposed proposed) {
      proposed(proposed.proposal(), proposed.outcome(), nowMs);
    } else if (message instanceof EvacuationMessage.LeaseChanged changed) {
      isLeader = changed.lease().local();
      leader = changed.lease().leader();
    } else if (message instanceof EvacuationMessage.PeersChanged changed) {
      distribution.setPeers(changed.peers(), changed.contacts(), current);
    } else if (message instanceof EvacuationMessage.FromPeer fromPeer) {
      received(fromPeer.received().peer(), fromPeer.received().message(), nowMs);
    }
  }

  /** Keeps only the newest state, because a restarted replica applies its whole log. */
  private void applied(EvacuationState state) {
    if (state.newerThan(latestApplied)) {
      latestApplied = state;
    }
  }

  @Override
  public void batchEnd(long nowMs) {
    install(latestApplied, true, nowMs);
  }

  private void ordered(EvacuationMessage.Order order, long nowMs) {
    if (!isLeader) {
      order
          .reply()
          .offer(
              leader
                  .<OrderOutcome>map(OrderOutcome.AskLeader::new)
                  .orElseGet(OrderOutcome.Unanswered::new));
      return;
    }
    long proposal = nextProposal++;
    pending.put(
        proposal, new PendingOrder(order.command(), order.reply(), nowMs + PROPOSAL_TIMEOUT_MS));
    boolean queued =
        proposer.propose(
            order.command(),
            outcome -> outlets.ownQueue().offer(new EvacuationMessage.Proposed(proposal, outcome)));
    if (!queued) {
      proposed(proposal, new OrderOutcome.Unanswered(), nowMs);
    }
  }

  /** Answers an order. Its state is in force here first, so that this instance sends by it. */
  private void proposed(long proposal, OrderOutcome outcome, long nowMs) {
    if (outcome instanceof OrderOutcome.Accepted accepted) {
      install(accepted.state(), true, nowMs);
    }
    PendingOrder order = pending.remove(proposal);
    if (order == null) {
      return;
    }
    if (outcome instanceof OrderOutcome.Accepted accepted) {
      LOGGER.log(
          System.Logger.Level.INFO,
          LogLine.of("evacuation.accepted")
              .with("order", order.command() instanceof EvacuationCommand.Begin ? "begin" : "end")
              .with("domain", order.command().domain())
              .with("revision", accepted.state().revision())
              .with("domains", accepted.state().names())
              .toString());
    }
    order.reply().offer(outcome);
  }

  private void received(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.Announcement announcement) {
      install(announcement.state(), false, nowMs);
    } else if (message instanceof PeerMessage.RevisionReport report) {
      distribution.reported(peer, report.revision(), current);
    }
  }

  /** Puts a newer state into force; an instance never returns to a smaller revision. */
  private void install(EvacuationState state, boolean fromAgreement, long nowMs) {
    if (!state.newerThan(current)) {
      return;
    }
    current = state;
    undelivered = Optional.of(state);
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("evacuation.in_force")
            .with("revision", state.revision())
            .with("domains", state.names())
            .with("source", fromAgreement ? "agreement" : "peer")
            .toString());
    deliver(nowMs);
    if (fromAgreement) {
      distribution.announce(state);
    }
  }

  private void deliver(long nowMs) {
    if (undelivered.isEmpty()) {
      return;
    }
    if (outlets.states().offer(undelivered.get())) {
      undelivered = Optional.empty();
    }
    nextDeliveryMs = nowMs + DELIVERY_RETRY_MS;
  }

  @Override
  public void tick(long nowMs) {
    if (nowMs >= nextDeliveryMs) {
      deliver(nowMs);
    }
    distribution.tick(current, nowMs);
    List<Long> expired = new ArrayList<>();
    pending.forEach(
        (proposal, order) -> {
          if (nowMs >= order.deadlineMs()) {
            expired.add(proposal);
          }
        });
    expired.forEach(proposal -> proposed(proposal, new OrderOutcome.Unanswered(), nowMs));
  }

  @Override
  public long nextTickMs() {
    long due = distribution.nextReportMs();
    if (undelivered.isPresent()) {
      due = Math.min(due, nextDeliveryMs);
    }
    for (PendingOrder order : pending.values()) {
      due = Math.min(due, order.deadlineMs());
    }
    return due;
  }
}
