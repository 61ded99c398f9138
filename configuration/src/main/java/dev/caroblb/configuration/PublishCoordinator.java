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
 * Leader side of publishes: decides those whose answer is certain, proposes the others, and answers
 * "in force" when the lease holders allow it.
 */
final class PublishCoordinator {
  private static final int MAX_WAITING = 1_024;

  /** Bounds the memory of proposals, each up to 1 MiB, that are not committed yet. */
  private static final int MAX_PROPOSED = 32;

  private final PeerSender sender;
  private final Proposals proposals;
  private final ConfigurationCounters counters;
  private final LongConsumer acceptedNumbers;
  private final Map<Key, Waiting> waitingByKey = new HashMap<>();

  /**
   * Creates a coordinator without publishes.
   *
   * @param acceptedNumbers told of each number that a proposal of this coordinator was accepted
   *     under
   */
  PublishCoordinator(
      PeerSender sender,
      Proposals proposals,
      ConfigurationCounters counters,
      LongConsumer acceptedNumbers) {
    this.sender = sender;
    this.proposals = proposals;
    this.counters = counters;
    this.acceptedNumbers = acceptedNumbers;
  }

  /** Forgets everything; forwarding instances send their publishes again. */
  void clear() {
    waitingByKey.clear();
  }

  boolean idle() {
    return waitingByKey.isEmpty();
  }

  /** Processes a forwarded publish, which may have been sent before. */
  void forwarded(
      InstanceId peer, PeerMessage.PublishForward message, ConfigurationState state, long nowMs) {
    Key key = new Key(peer, message.incarnation(), message.id());
    Optional<Waiting> known = Optional.ofNullable(waitingByKey.get(key));
    if (known.isPresent()) {
      known.filter(waiting -> waiting.accepted).ifPresent(this::replyAccepted);
      return;
    }
    Publish publish = message.publish();
    Optional<CommandResult> decided = state.decided(publish.number(), publish.digest());
    if (decided.isPresent()) {
      finish(new Waiting(key, publish, nowMs), decided.get());
      return;
    }
    if (waitingByKey.size() >= MAX_WAITING || proposals.size() >= MAX_PROPOSED) {
      counters.add(ConfigurationEvent.PUBLISH_OVERLOADED);
      return;
    }
    Either<List<TeamFileError>, ConfigurationCommand.Accept> checked =
        PublishChecker.check(publish);
    if (checked.isLeft()) {
      reply(key, PublishAnswer.invalid(publish, checked.getLeft()));
      return;
    }
    Waiting waiting = new Waiting(key, publish, nowMs);
    waitingByKey.put(key, waiting);
    if (!proposals.propose(checked.get(), outcome -> decided(waiting, outcome))) {
      waitingByKey.remove(key);
    }
  }

  private void decided(Waiting waiting, CommandOutcome outcome) {
    if (outcome instanceof CommandOutcome.Applied
        && ((CommandOutcome.Applied) outcome).result() instanceof CommandResult.Accepted) {
      acceptedNumbers.accept(waiting.publish.number());
    }
    if (waitingByKey.get(waiting.key) != waiting) {
      return;
    }
    if (outcome instanceof CommandOutcome.Applied applied) {
      finish(waiting, applied.result());
      return;
    }
    Optional<InstanceId> leader =
        outcome instanceof CommandOutcome.NotLeader
            ? ((CommandOutcome.NotLeader) outcome).leader()
            : Optional.empty();
    waitingByKey.remove(waiting.key);
    sender.send(waiting.key.peer(), new PeerMessage.LeaderView(leader));
  }

  private void finish(Waiting waiting, CommandResult result) {
    if (result instanceof CommandResult.Accepted) {
      waiting.accepted = true;
      waitingByKey.put(waiting.key, waiting);
      replyAccepted(waiting);
      return;
    }
    waitingByKey.remove(waiting.key);
    reply(waiting.key, RefusedPublish.answer(waiting.publish, result));
  }

  private void replyAccepted(Waiting waiting) {
    reply(waiting.key, PublishAnswer.of(waiting.publish, PublishOutcome.ACCEPTED, ""));
  }

  /** Answers the accepted publishes up to the number in force and drops abandoned ones. */
  void tick(long inForce, long nowMs) {
    List<Waiting> done = new ArrayList<>();
    Iterator<Waiting> all = waitingByKey.values().iterator();
    while (all.hasNext()) {
      Waiting waiting = all.next();
      boolean inForceNow = waiting.accepted && waiting.publish.number() <= inForce;
      if (inForceNow) {
        done.add(waiting);
      }
      if (inForceNow || nowMs >= waiting.sinceMs + PublishForwarder.TIME_LIMIT_MS) {
        all.remove();
      }
    }
    for (Waiting waiting : done) {
      reply(waiting.key, PublishAnswer.of(waiting.publish, PublishOutcome.IN_FORCE, ""));
    }
  }

  private void reply(Key key, PublishAnswer answer) {
    sender.send(key.peer(), new PeerMessage.PublishReply(key.incarnation(), key.id(), answer));
  }

  private record Key(InstanceId peer, String incarnation, long id) {}

  private static final class Waiting {
    private final Key key;
    private final Publish publish;
    private final long sinceMs;
    private boolean accepted;

    Waiting(Key key, Publish publish, long sinceMs) {
      this.key = key;
      this.publish = publish;
      this.sinceMs = sinceMs;
    }
  }
}
