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
 * The leader's side: proposes what entries ask for and answers when it is committed. It answers
 * from committed results only, so a leader that was replaced without noticing does no harm.
 */
final class LeaderRole {
  /** After it a resend is proposed again although no outcome of the first proposal arrived. */
  static final long PROPOSAL_LIMIT_MS = 5_000;

  private record Asked(Attempt attempt, KeyMessage.Step step) {}

  private record InFlight(
      InstanceId peer, KeyMessage.Request request, long sinceMs, long waitEndMs) {
    Asked asked() {
      return new Asked(request.attempt(), request.step());
    }
  }

  private final KeyGroups groups;
  private final Proposer proposer;
  private final KeyFormat format;
  private final KeyPost post;
  private final WallTime wall;
  private final Outlet<IdempotencyMessage> inbox;
  private final Map<GroupId, LeaderLease> leases = new HashMap<>();
  private final Map<Long, InFlight> inFlight = new HashMap<>();
  private final Set<Asked> asked = new HashSet<>();
  private final Waiters waiters = new Waiters();
  private final Map<InstanceId, Long> gone = new HashMap<>();
  private long lastTicket;

  LeaderRole(
      KeyGroups groups,
      Proposer proposer,
      KeyFormat format,
      KeyPost post,
      WallTime wall,
      Outlet<IdempotencyMessage> inbox) {
    this.groups = groups;
    this.proposer = proposer;
    this.format = format;
    this.post = post;
    this.wall = wall;
    this.inbox = inbox;
  }

  void lease(LeaderLease lease) {
    leases.put(lease.group(), lease);
    if (lease.local()) {
      return;
    }
    for (Waiters.Waiter waiter :
        waiters.takeIf(w -> groups.of(w.request().key()).equals(lease.group()))) {
      elsewhere(waiter.peer(), waiter.request(), lease.leader());
    }
  }

  private void elsewhere(InstanceId peer, KeyMessage.Request request, Optional<InstanceId> leader) {
    post.send(peer, new KeyMessage.Elsewhere(request.attempt(), request.step(), leader));
  }

  void request(InstanceId peer, KeyMessage.Request request, long nowMs) {
    GroupId group = groups.of(request.key());
    Optional<LeaderLease> lease = Optional.ofNullable(leases.get(group));
    if (lease.filter(LeaderLease::local).isEmpty()) {
      elsewhere(peer, request, lease.flatMap(LeaderLease::leader));
      return;
    }
    long waitMs = request instanceof KeyMessage.Reserve reserve ? reserve.waitMs() : 0;
    propose(group, new InFlight(peer, request, nowMs, nowMs + waitMs), nowMs);
  }

  private void propose(GroupId group, InFlight proposal, long nowMs) {
    if (asked.contains(proposal.asked())) {
      return;
    }
    long ticket = ++lastTicket;
    boolean taken =
        proposer.propose(
            group,
            format.encode(command(proposal.request(), nowMs)),
            outcome -> inbox.offer(new IdempotencyMessage.Proposed(ticket, outcome)));
    if (taken) {
      inFlight.put(ticket, proposal);
      asked.add(proposal.asked());
    }
  }

  private KeyCommand command(KeyMessage.Request request, long nowMs) {
    if (request instanceof KeyMessage.Reserve reserve) {
      return new KeyCommand.Reserve(
          reserve.key(), reserve.attempt(), reserve.digest(), wall.at(nowMs));
    }
    if (request instanceof KeyMessage.RecordOutcome done) {
      return new KeyCommand.RecordOutcome(done.key(), done.attempt(), done.outcome());
    }
    return new KeyCommand.Release(request.key(), request.attempt());
  }

  void proposed(long ticket, ProposalOutcome outcome, long nowMs) {
    InFlight proposal = inFlight.remove(ticket);
    if (proposal == null) {
      return;
    }
    asked.remove(proposal.asked());
    if (outcome instanceof ProposalOutcome.Applied applied) {
      format.decodeResult(applied.result()).ifPresent(result -> applied(proposal, result, nowMs));
    } else if (outcome instanceof ProposalOutcome.NotLeader notLeader) {
      elsewhere(proposal.peer(), proposal.request(), notLeader.leader());
    } else {
      elsewhere(proposal.peer(), proposal.request(), Optional.empty());
    }
  }

  private void applied(InFlight proposal, KeyResult result, long nowMs) {
    if (result instanceof KeyResult.Held held
        && proposal.request() instanceof KeyMessage.Reserve reserve) {
      hold(proposal, reserve, held.holder(), nowMs);
      return;
    }
    answer(proposal.peer(), proposal.request(), result);
    if (result instanceof KeyResult.Recorded || result instanceof KeyResult.Released) {
      wake(proposal.request().key(), nowMs);
    }
  }

  private void hold(InFlight proposal, KeyMessage.Reserve reserve, Attempt holder, long nowMs) {
    Waiters.Waiter waiter =
        new Waiters.Waiter(proposal.peer(), reserve, holder, proposal.waitEndMs());
    if (isGone(holder) || nowMs >= waiter.endsAtMs() || !waiters.add(waiter)) {
      answer(proposal.peer(), reserve, new KeyResult.Held(holder));
      return;
    }
    post.send(proposal.peer(), new KeyMessage.Waiting(reserve.attempt()));
  }

  private void answer(InstanceId peer, KeyMessage.Request request, KeyResult result) {
    post.send(peer, new KeyMessage.Answer(request.attempt(), request.step(), result));
  }

  /** Waiting resends ask again: they get the outcome that is now stored, or the free key. */
  private void wake(CallKey key, long nowMs) {
    for (Waiters.Waiter waiter : waiters.take(key)) {
      propose(
          groups.of(key),
          new InFlight(waiter.peer(), waiter.request(), nowMs, waiter.endsAtMs()),
          nowMs);
    }
  }

  private boolean isGone(Attempt holder) {
    return gone.getOrDefault(holder.entry(), -1L) >= holder.incarnation();
  }

  void instanceGone(InstanceId instance, long incarnation) {
    gone.merge(instance, incarnation, Math::max);
    answerHeld(waiters.takeIf(waiter -> isGone(waiter.holder())));
  }

  private void answerHeld(List<Waiters.Waiter> ended) {
    for (Waiters.Waiter waiter : ended) {
      answer(waiter.peer(), waiter.request(), new KeyResult.Held(waiter.holder()));
    }
  }

  void tick(long nowMs) {
    answerHeld(waiters.takeIf(waiter -> nowMs >= waiter.endsAtMs()));
    List<Long> overdue = new ArrayList<>();
    for (Map.Entry<Long, InFlight> entry : inFlight.entrySet()) {
      if (nowMs - entry.getValue().sinceMs() >= PROPOSAL_LIMIT_MS) {
        overdue.add(entry.getKey());
      }
    }
    for (Long ticket : overdue) {
      asked.remove(inFlight.remove(ticket).asked());
    }
  }
}
