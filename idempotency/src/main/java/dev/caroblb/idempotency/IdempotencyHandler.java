package dev.caroblb.idempotency;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Proposer;
import java.util.Optional;

/** Dispatches each message to the entry role or the leader role; every instance has both. */
public final class IdempotencyHandler implements DutyHandler<IdempotencyMessage> {
  private static final long TICK_MS = 50;

  private final InstanceId self;
  private final KeyMessenger messenger;
  private final DecisionQueue decisions;
  private final WallClockEstimate wallClock = new WallClockEstimate();
  private final EntryRole entry;
  private final LeaderRole leader;
  private long nextTickMs;

  /**
   * Creates the handler of one instance.
   *
   * @param proposer proposes commands to the key groups; must return false if this instance is not
   *     a replica
   */
  public IdempotencyHandler(
      KeyInstance instance, Proposer proposer, KeyFormat format, IdempotencyOutlets outlets) {
    this.self = instance.id();
    this.messenger = new KeyMessenger(self, outlets.peers());
    this.decisions = new DecisionQueue(outlets.decisions());
    this.entry = new EntryRole(instance, messenger, decisions, outlets.retries());
    this.leader =
        new LeaderRole(instance.groups(), proposer, format, messenger, wallClock, outlets.inbox());
  }

  @Override
  public void handle(IdempotencyMessage message, long nowMs) {
    if (message instanceof IdempotencyMessage.Begin begin) {
      wallClock.observe(begin.wallMs(), nowMs);
      entry.begin(begin.request(), nowMs);
    } else if (message instanceof IdempotencyMessage.Finished finished) {
      entry.finished(finished.call(), finished.outcome(), nowMs);
    } else if (message instanceof IdempotencyMessage.NothingSent nothing) {
      entry.nothingSent(nothing.call(), nowMs);
    } else if (message instanceof IdempotencyMessage.OutcomeLost lost) {
      entry.outcomeLost(lost.call());
    } else if (message instanceof IdempotencyMessage.FromPeer peer) {
      wallClock.observe(peer.wallMs(), nowMs);
      deliver(peer.received().peer(), peer.received().message(), nowMs);
    } else if (message instanceof IdempotencyMessage.Proposed proposed) {
      leader.proposed(proposed.ticket(), proposed.outcome(), nowMs);
    } else if (message instanceof IdempotencyMessage.Leadership leadership) {
      leader.lease(leadership.lease());
    } else if (message instanceof IdempotencyMessage.InstanceGone gone) {
      leader.instanceGone(gone.instance(), gone.incarnation());
    }
    deliverLocal(nowMs);
  }

  private void deliver(InstanceId from, KeyMessage message, long nowMs) {
    if (message instanceof KeyMessage.Request request) {
      leader.request(from, request, nowMs);
    } else if (message instanceof KeyMessage.Reply reply) {
      entry.handleReply(from, reply, nowMs);
    }
  }

  private void deliverLocal(long nowMs) {
    Optional<KeyMessage> next = messenger.nextLocal();
    while (next.isPresent()) {
      deliver(self, next.get(), nowMs);
      next = messenger.nextLocal();
    }
  }

  @Override
  public void tick(long nowMs) {
    nextTickMs = nowMs + TICK_MS;
    decisions.flush();
    entry.tick(nowMs);
    leader.tick(nowMs);
    deliverLocal(nowMs);
  }

  @Override
  public long nextTickMs() {
    return nextTickMs;
  }

  /** Number of calls with a key that are in progress. */
  public int openCalls() {
    return entry.openCalls();
  }
}
