package dev.caroblb.idempotency;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.idempotency.codec.KeyCommandFormat;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * One incarnation of a simulated instance, with everything it emitted. A restart creates a new
 * node.
 */
final class KeyNode {
  static final GroupId GROUP = GroupId.keys(0);
  static final long WALL_MS = 1_800_000_000_000L;

  /** A command that was proposed at this node. */
  record Proposal(Payload command, Outlet<ProposalOutcome> reply) {}

  final InstanceId id;
  final long incarnation;
  final Deque<PeerEnvelope<KeyMessage>> sent = new ArrayDeque<>();
  final Deque<IdempotencyMessage> inbox = new ArrayDeque<>();
  final List<KeyDecision> decisions = new ArrayList<>();
  final List<Proposal> proposals = new ArrayList<>();
  boolean streamsFull;

  private final IdempotencyHandler handler;
  private final long clockOffsetMs;

  KeyNode(String name, long incarnation, List<InstanceId> replicas, long clockOffsetMs) {
    this.id = new InstanceId(name);
    this.incarnation = incarnation;
    this.clockOffsetMs = clockOffsetMs;
    this.handler =
        new IdempotencyHandler(
            new KeyInstance(id, incarnation, new KeyGroups(1), replicas),
            (group, command, reply) -> proposals.add(new Proposal(command, reply)),
            new KeyCommandFormat(),
            new IdempotencyOutlets(
                sent::add, d -> !streamsFull && decisions.add(d), r -> true, inbox::add));
  }

  void handle(IdempotencyMessage message, long realMs) {
    handler.handle(message, realMs + clockOffsetMs);
  }

  void begin(CallRequest request, long realMs) {
    CallRequest local =
        new CallRequest(
            request.id(),
            request.workspace(),
            request.policy(),
            request.deadlineMs() + clockOffsetMs,
            request.idempotencyKey(),
            request.body());
    handle(new IdempotencyMessage.Begin(local, WALL_MS + realMs), realMs);
  }

  void receive(InstanceId peer, KeyMessage message, long realMs) {
    handle(
        new IdempotencyMessage.FromPeer(new PeerEnvelope<>(peer, message), WALL_MS + realMs),
        realMs);
  }

  void lease(long term, InstanceId leader, long realMs) {
    boolean local = leader.equals(id);
    handle(
        new IdempotencyMessage.Leadership(
            new LeaderLease(GROUP, term, Optional.of(leader), local, Long.MAX_VALUE)),
        realMs);
  }

  void step(long realMs) {
    while (!inbox.isEmpty()) {
      handle(inbox.poll(), realMs);
    }
    if (handler.nextTickMs() <= realMs + clockOffsetMs) {
      handler.tick(realMs + clockOffsetMs);
    }
  }

  int openCalls() {
    return handler.openCalls();
  }
}
