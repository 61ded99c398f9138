package dev.caroblb.configuration;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import java.util.Optional;

/**
 * Leader side of the configuration: grants leases and coordinates publishes while this instance
 * holds the lease of the control group.
 */
final class LeaderRole {
  private static final long TICK_MS = 50;

  private final InstanceId self;
  private final PeerSender sender;
  private final Proposals proposals;
  private final int chunkBytes;
  private final LeaseHolders holders = new LeaseHolders();
  private final PublishCoordinator publishes;

  private LeaderLease lease =
      new LeaderLease(GroupId.CONTROL, 0, Optional.empty(), false, Long.MIN_VALUE);
  private ConfigurationState state = ConfigurationState.empty();

  /** Number up to which the state must be applied before this leader acts; empty if unknown. */
  private Optional<Long> barrier = Optional.empty();

  private boolean barrierProposed;
  private long nextTickMs = Long.MAX_VALUE;

  LeaderRole(
      InstanceId self,
      PeerSender sender,
      Proposals proposals,
      ConfigurationCounters counters,
      int chunkBytes) {
    this.self = self;
    this.sender = sender;
    this.proposals = proposals;
    this.chunkBytes = chunkBytes;
    this.publishes = new PublishCoordinator(sender, proposals, counters, this::requireState);
  }

  /** Processes news about the leader of the control group. */
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
      holders.restart(nowMs);
      nextTickMs = nowMs;
    }
  }

  void stateApplied(ConfigurationState applied) {
    if (applied.number() > state.number()) {
      state = applied;
    }
  }

  /** Answers a renewal request, with a lease if nothing is left to fetch. */
  void renewalRequested(InstanceId peer, PeerMessage.RenewRequest request, long nowMs) {
    if (!actsAt(nowMs)) {
      sender.send(peer, new PeerMessage.LeaderView(leaderAt(nowMs)));
      return;
    }
    FileChunk chunk = FileChunks.after(request.cursor(), state, chunkBytes);
    if (chunk.last()) {
      holders.granted(peer, request.incarnation(), request.installed(), nowMs);
    } else {
      holders.acknowledged(peer, request.incarnation(), request.installed());
    }
    sender.send(
        peer,
        new PeerMessage.RenewAnswer(
            request.incarnation(), request.sequence(), state.number(), chunk));
  }

  /** Processes a publish that an instance forwarded. */
  void publishForwarded(InstanceId peer, PeerMessage.PublishForward message, long nowMs) {
    if (!actsAt(nowMs)) {
      sender.send(peer, new PeerMessage.LeaderView(leaderAt(nowMs)));
      return;
    }
    publishes.forwarded(peer, message, state, nowMs);
    nextTickMs = Math.min(nextTickMs, nowMs + TICK_MS);
  }

  /**
   * Whether this instance may act as the leader. The barrier keeps a new leader from granting
   * leases under a number older than one that its predecessor declared in force.
   */
  private boolean actsAt(long nowMs) {
    return lease.heldAt(nowMs) && barrier.isPresent() && state.number() >= barrier.get();
  }

  /**
   * Stops granting leases until a number known to be accepted was applied here. The message with
   * its state precedes the outcome unless the ring had no room for it.
   */
  private void requireState(long number) {
    if (lease.local() && barrier.isPresent() && number > barrier.get()) {
      barrier = Optional.of(number);
      nextTickMs = 0;
    }
  }

  private Optional<InstanceId> leaderAt(long nowMs) {
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
    if (!barrierProposed || barrierMissing()) {
      proposeBarrier();
    }
    if (actsAt(nowMs)) {
      publishes.tick(holders.inForce(state.number(), nowMs), nowMs);
    }
    if (!actsAt(nowMs) || !publishes.idle()) {
      nextTickMs = nowMs + TICK_MS;
    }
  }

  /** Whether the state that the barrier waits for was lost because the ring was full. */
  private boolean barrierMissing() {
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
