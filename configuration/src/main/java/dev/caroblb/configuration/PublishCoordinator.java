package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.TeamFileError;
import dev.caroblb.core.InstanceId;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;

/**
 * Leader side of publishes: answers those whose result is already known, proposes the others, and
 * answers "in force" once every lease holder has installed the number.
 */
final class PublishCoordinator {
  private static final int MAX_PENDING = 1_024;

  /** Bounds the memory used by uncommitted proposals, each of up to 1 MiB. */
  private static final int MAX_UNCOMMITTED = 32;

  private final PeerSender sender;
  private final PendingProposals proposals;
  private final ConfigurationCounters counters;
  private final LongConsumer acceptedListener;
  private final Map<Key, PendingPublish> pendingByKey = new HashMap<>();

  /**
   * Creates a coordinator with no pending publishes.
   *
   * @param acceptedListener called with the number of each accepted proposal of this coordinator
   */
  PublishCoordinator(
      PeerSender sender,
      PendingProposals proposals,
      ConfigurationCounters counters,
      LongConsumer acceptedListener) {
    this.sender = sender;
    this.proposals = proposals;
    this.counters = counters;
    this.acceptedListener = acceptedListener;
  }

  /** Drops all pending publishes; the forwarding instances send them again. */
  void clear() {
    pendingByKey.clear();
  }

  boolean idle() {
    return pendingByKey.isEmpty();
  }

  /** Processes a forwarded publish, which may be a resend. */
  void publishForwarded(
      InstanceId peer, PeerMessage.PublishForward message, ConfigurationState state, long nowMs) {
    Key key = new Key(peer, message.incarnation(), message.id());
    Optional<PendingPublish> known = Optional.ofNullable(pendingByKey.get(key));
    if (known.isPresent()) {
      known.filter(pending -> pending.accepted).ifPresent(this::replyAccepted);
      return;
    }
    Publish publish = message.publish();
    Optional<CommandResult> knownResult = state.knownResult(publish.number(), publish.digest());
    if (knownResult.isPresent()) {
      finish(new PendingPublish(key, publish, nowMs), knownResult.get());
      return;
    }
    if (pendingByKey.size() >= MAX_PENDING || proposals.size() >= MAX_UNCOMMITTED) {
      counters.add(ConfigurationEvent.PUBLISH_OVERLOADED);
      return;
    }
    Either<List<TeamFileError>, ConfigurationCommand.Accept> checked =
        PublishChecker.check(publish);
    if (checked.isLeft()) {
      reply(key, PublishAnswer.invalid(publish, checked.getLeft()));
      return;
    }
    PendingPublish pending = new PendingPublish(key, publish, nowMs);
    pendingByKey.put(key, pending);
    if (!proposals.propose(checked.get(), outcome -> proposalFinished(pending, outcome))) {
      pendingByKey.remove(key);
    }
  }

  private void proposalFinished(PendingPublish pending, CommandOutcome outcome) {
    if (outcome instanceof CommandOutcome.Applied
        && ((CommandOutcome.Applied) outcome).result() instanceof CommandResult.Accepted) {
      acceptedListener.accept(pending.publish.number());
    }
    if (pendingByKey.get(pending.key) != pending) {
      return;
    }
    if (outcome instanceof CommandOutcome.Applied applied) {
      finish(pending, applied.result());
      return;
    }
    Optional<InstanceId> leader =
        outcome instanceof CommandOutcome.NotLeader
            ? ((CommandOutcome.NotLeader) outcome).leader()
            : Optional.empty();
    pendingByKey.remove(pending.key);
    sender.send(pending.key.peer(), new PeerMessage.LeaderHint(leader));
  }

  private void finish(PendingPublish pending, CommandResult result) {
    if (result instanceof CommandResult.Accepted) {
      pending.accepted = true;
      pendingByKey.put(pending.key, pending);
      replyAccepted(pending);
      return;
    }
    pendingByKey.remove(pending.key);
    reply(pending.key, RefusedPublish.answer(pending.publish, result));
  }

  private void replyAccepted(PendingPublish pending) {
    reply(pending.key, PublishAnswer.of(pending.publish, PublishOutcome.ACCEPTED, ""));
  }

  /**
   * Answers the accepted publishes up to the number in force and drops those past their time limit.
   */
  void tick(long inForce, long nowMs) {
    List<PendingPublish> done = new ArrayList<>();
    Iterator<PendingPublish> iterator = pendingByKey.values().iterator();
    while (iterator.hasNext()) {
      PendingPublish pending = iterator.next();
      boolean inForceNow = pending.accepted && pending.publish.number() <= inForce;
      if (inForceNow) {
        done.add(pending);
      }
      if (inForceNow || nowMs >= pending.receivedAtMs + PublishForwarder.TIME_LIMIT_MS) {
        iterator.remove();
      }
    }
    for (PendingPublish pending : done) {
      reply(pending.key, PublishAnswer.of(pending.publish, PublishOutcome.IN_FORCE, ""));
    }
  }

  private void reply(Key key, PublishAnswer answer) {
    sender.send(key.peer(), new PeerMessage.PublishReply(key.incarnation(), key.id(), answer));
  }

  private record Key(InstanceId peer, String incarnation, long id) {}

  private static final class PendingPublish {
    private final Key key;
    private final Publish publish;
    private final long receivedAtMs;
    private boolean accepted;

    PendingPublish(Key key, Publish publish, long receivedAtMs) {
      this.key = key;
      this.publish = publish;
      this.receivedAtMs = receivedAtMs;
    }
  }
}
