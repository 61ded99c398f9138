package dev.caroblb.configuration;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import java.util.Optional;

/**
 * Leader side of the configuration: grants configuration leases to entries and coordinates
 * publishes while this instance holds the leader lease of the control group.
 */
final class LeaderRole {
  private static final long TICK_MS = 50;

  private final InstanceId self;
  private final PeerSender sender;
  private final PendingProposals proposals;
  private final int chunkBytes;
  private final LeaseHolders leaseHolders = new LeaseHolders();
  private final PublishCoordinator publishes;

  private LeaderLease lease =
      new LeaderLease(GroupId.CONTROL, 0, Optional.empty(), false, Long.MIN_VALUE);
  private ConfigurationState state = ConfigurationState.empty();

  /**
   * Number that the local state must reach before this instance acts as leader; empty until known.
   */
  private Optional<Long> barrier = Optional.empty();

  private boolean barrierProposed;
  private long nextTickMs = Long.MAX_VALUE;

  LeaderRole(
      InstanceId self,
      PeerSender sender,
      PendingProposals proposals,
      ConfigurationCounters counters,
      int chunkBytes) {
    this.self = self;
    this.sender = sender;
    this.proposals = proposals;
    this.chunkBytes = chunkBytes;
    this.publishes = new PublishCoordinator(sender, proposals, counters, this::raiseBarrier);
  }

  /** Processes a change of the leader of the control group or of its lease. */
  void leaseChanged(LeaderLease changed, long nowMs) {
    if (!changed.group().equals(GroupId.CONTROL) || changed.term() < lease.term()) {
      return;
    }
    boolean sameLeadership = lease.local() && changed.local() && lease.term() == changed.term();
    lease = changed;
    if (sameLeadership) {
      return;
    }
    publishes.clear();
    barrier = Optional.empty();
    barrierProposed = false;
    if (lease.local()) {
      leaseHolders.restart(nowMs);
      nextTickMs = nowMs;
    }
  }

  void stateApplied(ConfigurationState applied) {
    if (applied.number() > state.number()) {
      state = applied;
    }
  }

  /** Answers a renewal request. Grants a lease if the answer contains the last missing files. */
  void renewalRequested(InstanceId peer, PeerMessage.RenewRequest request, long nowMs) {
    if (!canActAt(nowMs)) {
      sender.send(peer, new PeerMessage.LeaderHint(knownLeaderAt(nowMs)));
      return;
    }
    FileChunk chunk = FileChunks.after(request.cursor(), state, chunkBytes);
    if (chunk.last()) {
      leaseHolders.recordGrant(peer, request.incarnation(), request.installed(), nowMs);
    } else {
      leaseHolders.recordInstalled(peer, request.incarnation(), request.installed());
    }
    sender.send(
        peer,
        new PeerMessage.RenewAnswer(
            request.incarnation(), request.sequence(), state.number(), chunk));
  }

  /** Processes a publish forwarded by an instance. */
  void publishForwarded(InstanceId peer, PeerMessage.PublishForward message, long nowMs) {
    if (!canActAt(nowMs)) {
      sender.send(peer, new PeerMessage.LeaderHint(knownLeaderAt(nowMs)));
      return;
    }
    publishes.publishForwarded(peer, message, state, nowMs);
    nextTickMs = Math.min(nextTickMs, nowMs + TICK_MS);
  }

  /**
   * Whether this instance may act as the leader. Without the barrier, a new leader with an outdated
   * state could grant leases under a number older than one that its predecessor declared in force.
   */
  private boolean canActAt(long nowMs) {
    return lease.heldAt(nowMs) && barrier.isPresent() && state.number() >= barrier.get();
  }

  /**
   * Stops granting leases until a number known to be accepted is applied here. Usually that is
   * already the case: the state is delivered before the outcome, unless it was dropped because the
   * ring was full.
   */
  private void raiseBarrier(long number) {
    if (lease.local() && barrier.isPresent() && number > barrier.get()) {
      barrier = Optional.of(number);
      nextTickMs = 0;
    }
  }

  private Optional<InstanceId> knownLeaderAt(long nowMs) {
    if (!lease.local()) {
      return lease.leader().filter(leader -> !leader.equals(self));
    }
    return lease.heldAt(nowMs) ? Optional.of(self) : Optional.empty();
  }

  long nextTickMs() {
    return nextTickMs;
  }

  void tick(long nowMs) {
    if (nowMs < nextTickMs) {
      return;
    }
    nextTickMs = Long.MAX_VALUE;
    if (!lease.local()) {
      return;
    }
    if (!barrierProposed || stateBehindBarrier()) {
      proposeBarrier();
    }
    if (canActAt(nowMs)) {
      publishes.tick(leaseHolders.inForce(state.number(), nowMs), nowMs);
    }
    if (!canActAt(nowMs) || !publishes.idle()) {
      nextTickMs = nowMs + TICK_MS;
    }
  }

  /**
   * Whether the state required by the barrier has not arrived, for example because the ring was
   * full. Proposing another barrier makes the state machine offer its state again.
   */
  private boolean stateBehindBarrier() {
    return barrier.isPresent() && state.number() < barrier.get();
  }

  private void proposeBarrier() {
    long term = lease.term();
    barrier = Optional.empty();
    barrierProposed =
        proposals.propose(
            new ConfigurationCommand.Barrier(), outcome -> barrierFinished(term, outcome));
  }

  private void barrierFinished(long term, CommandOutcome outcome) {
    if (term != lease.term() || !lease.local()) {
      return;
    }
    CommandResult result =
        outcome instanceof CommandOutcome.Applied
            ? ((CommandOutcome.Applied) outcome).result()
            : new CommandResult.Unreadable();
    if (result instanceof CommandResult.BarrierPassed) {
      barrier = Optional.of(((CommandResult.BarrierPassed) result).number());
      return;
    }
    barrierProposed = false;
  }
}
