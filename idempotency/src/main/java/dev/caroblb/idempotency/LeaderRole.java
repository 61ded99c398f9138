package dev.caroblb.idempotency;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.Proposer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Leader side of the at-most-once protocol. Proposes the requests of entries as commands and
 * answers each request with the committed result. Since only committed results are sent, a replaced
 * leader that has not noticed its replacement cannot grant a key.
 */
final class LeaderRole {
  /**
   * After this time a pending proposal is forgotten, so that a resent request is proposed again.
   */
  static final long PROPOSAL_TIMEOUT_MS = 5_000;

  private record RequestId(Attempt attempt, KeyMessage.Operation operation) {}

  private record PendingProposal(
      InstanceId peer, KeyMessage.Request request, long proposedAtMs, long waitDeadlineMs) {
    RequestId requestId() {
      return new RequestId(request.attempt(), request.operation());
    }
  }

  private final KeyGroups groups;
  private final Proposer proposer;
  private final KeyFormat format;
  private final KeyMessenger messenger;
  private final WallClockEstimate wallClock;
  private final Outlet<IdempotencyMessage> inbox;
  private final Map<GroupId, LeaderLease> leases = new HashMap<>();
  private final Map<Long, PendingProposal> proposals = new HashMap<>();
  private final Set<RequestId> pendingRequests = new HashSet<>();
  private final Waiters waiters = new Waiters();
  private final Map<InstanceId, Long> goneIncarnations = new HashMap<>();
  private long lastTicket;

  LeaderRole(
      KeyGroups groups,
      Proposer proposer,
      KeyFormat format,
      KeyMessenger messenger,
      WallClockEstimate wallClock,
      Outlet<IdempotencyMessage> inbox) {
    this.groups = groups;
    this.proposer = proposer;
    this.format = format;
    this.messenger = messenger;
    this.wallClock = wallClock;
    this.inbox = inbox;
  }

  void lease(LeaderLease lease) {
    leases.put(lease.group(), lease);
    if (lease.local()) {
      return;
    }
    for (Waiters.Waiter waiter :
        waiters.takeIf(w -> groups.of(w.request().key()).equals(lease.group()))) {
      sendNotLeader(waiter.peer(), waiter.request(), lease.leader());
    }
  }

  private void sendNotLeader(
      InstanceId peer, KeyMessage.Request request, Optional<InstanceId> leader) {
    messenger.send(peer, new KeyMessage.NotLeader(request.attempt(), request.operation(), leader));
  }

  void request(InstanceId peer, KeyMessage.Request request, long nowMs) {
    GroupId group = groups.of(request.key());
    Optional<LeaderLease> lease = Optional.ofNullable(leases.get(group));
    if (lease.filter(LeaderLease::local).isEmpty()) {
      sendNotLeader(peer, request, lease.flatMap(LeaderLease::leader));
      return;
    }
    long waitMs = request instanceof KeyMessage.Reserve reserve ? reserve.waitMs() : 0;
    propose(group, new PendingProposal(peer, request, nowMs, nowMs + waitMs), nowMs);
  }

  private void propose(GroupId group, PendingProposal proposal, long nowMs) {
    if (pendingRequests.contains(proposal.requestId())) {
      return;
    }
    long ticket = ++lastTicket;
    boolean accepted =
        proposer.propose(
            group,
            format.encode(command(proposal.request(), nowMs)),
            outcome -> inbox.offer(new IdempotencyMessage.Proposed(ticket, outcome)));
    if (accepted) {
      proposals.put(ticket, proposal);
      pendingRequests.add(proposal.requestId());
    }
  }

  private KeyCommand command(KeyMessage.Request request, long nowMs) {
    if (request instanceof KeyMessage.Reserve reserve) {
      return new KeyCommand.Reserve(
          reserve.key(), reserve.attempt(), reserve.digest(), wallClock.at(nowMs));
    }
    if (request instanceof KeyMessage.RecordOutcome recordOutcome) {
      return new KeyCommand.RecordOutcome(
          recordOutcome.key(), recordOutcome.attempt(), recordOutcome.outcome());
    }
    return new KeyCommand.Release(request.key(), request.attempt());
  }

  void proposed(long ticket, ProposalOutcome outcome, long nowMs) {
    PendingProposal proposal = proposals.remove(ticket);
    if (proposal == null) {
      return;
    }
    pendingRequests.remove(proposal.requestId());
    if (outcome instanceof ProposalOutcome.Applied applied) {
      format.decodeResult(applied.result()).ifPresent(result -> applied(proposal, result, nowMs));
    } else if (outcome instanceof ProposalOutcome.NotLeader notLeader) {
      sendNotLeader(proposal.peer(), proposal.request(), notLeader.leader());
    } else {
      sendNotLeader(proposal.peer(), proposal.request(), Optional.empty());
    }
  }

  private void applied(PendingProposal proposal, KeyResult result, long nowMs) {
    if (result instanceof KeyResult.Held held
        && proposal.request() instanceof KeyMessage.Reserve reserve) {
      addWaiter(proposal, reserve, held.holder(), nowMs);
      return;
    }
    answer(proposal.peer(), proposal.request(), result);
    if (result instanceof KeyResult.Recorded || result instanceof KeyResult.Released) {
      proposeWaiters(proposal.request().key(), nowMs);
    }
  }

  private void addWaiter(
      PendingProposal proposal, KeyMessage.Reserve reserve, Attempt holder, long nowMs) {
    Waiters.Waiter waiter =
        new Waiters.Waiter(proposal.peer(), reserve, holder, proposal.waitDeadlineMs());
    if (isGone(holder) || nowMs >= waiter.deadlineMs() || !waiters.add(waiter)) {
      answer(proposal.peer(), reserve, new KeyResult.Held(holder));
      return;
    }
    messenger.send(proposal.peer(), new KeyMessage.Waiting(reserve.attempt()));
  }

  private void answer(InstanceId peer, KeyMessage.Request request, KeyResult result) {
    messenger.send(peer, new KeyMessage.Answer(request.attempt(), request.operation(), result));
  }

  /**
   * Proposes the waiting reservations of a key again; they now get the stored outcome or the
   * released key.
   */
  private void proposeWaiters(CallKey key, long nowMs) {
    for (Waiters.Waiter waiter : waiters.take(key)) {
      propose(
          groups.of(key),
          new PendingProposal(waiter.peer(), waiter.request(), nowMs, waiter.deadlineMs()),
          nowMs);
    }
  }

  private boolean isGone(Attempt holder) {
    return goneIncarnations.getOrDefault(holder.entry(), -1L) >= holder.incarnation();
  }

  void instanceGone(InstanceId instance, long incarnation) {
    goneIncarnations.merge(instance, incarnation, Math::max);
    answerHeld(waiters.takeIf(waiter -> isGone(waiter.holder())));
  }

  private void answerHeld(List<Waiters.Waiter> ended) {
    for (Waiters.Waiter waiter : ended) {
      answer(waiter.peer(), waiter.request(), new KeyResult.Held(waiter.holder()));
    }
  }

  void tick(long nowMs) {
    answerHeld(waiters.takeIf(waiter -> nowMs >= waiter.deadlineMs()));
    List<Long> overdue = new ArrayList<>();
    for (Map.Entry<Long, PendingProposal> entry : proposals.entrySet()) {
      if (nowMs - entry.getValue().proposedAtMs() >= PROPOSAL_TIMEOUT_MS) {
        overdue.add(entry.getKey());
      }
    }
    for (Long ticket : overdue) {
      pendingRequests.remove(proposals.remove(ticket).requestId());
    }
  }
}
