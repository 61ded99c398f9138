package dev.caroblb.configuration;

import dev.caroblb.core.Outlet;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Forwards publishes from publishers connected to this instance to the control leader. */
final class PublishForwarder {
  /** Time within which a publisher gets an answer; it covers a leader change and one lease. */
  static final long TIME_LIMIT_MS = 12_000;

  /** Bounds memory, because each pending publish can hold 1 MiB. */
  static final int MAX_PENDING = 32;

  private static final long RESEND_MS = 1_000;
  private static final long RETRY_MS = 200;

  /** Delay before an answer that a publisher's connection could not take is offered again. */
  private static final long REPLY_RETRY_MS = 100;

  private static final String UNANSWERED =
      "no control leader answered in time, and the publish may have been accepted;"
          + " send the same files under the same number again";
  private static final String NOT_YET_IN_FORCE =
      "accepted, but not in force everywhere yet; send the same publish again to check";
  private static final String OVERLOADED =
      "too many publishes are pending at this instance and nothing was sent;"
          + " send the same publish again later or to another instance";

  private final String incarnation;
  private final LeaderFinder finder;
  private final PeerSender sender;
  private final ConfigurationCounters counters;
  private final Map<Long, PendingPublish> pendingById = new TreeMap<>();
  private long lastId;

  PublishForwarder(
      String incarnation, LeaderFinder finder, PeerSender sender, ConfigurationCounters counters) {
    this.incarnation = incarnation;
    this.finder = finder;
    this.sender = sender;
    this.counters = counters;
  }

  /** Starts forwarding a publish from a publisher connected to this instance. */
  void publishRequested(Publish publish, Outlet<PublishAnswer> reply, long nowMs) {
    if (pendingById.size() >= MAX_PENDING) {
      counters.add(ConfigurationEvent.PUBLISH_OVERLOADED);
      // If the connection cannot take the answer, the publisher sends the request again.
      boolean unused =
          reply.offer(PublishAnswer.of(publish, PublishOutcome.UNANSWERED, OVERLOADED));
      return;
    }
    lastId++;
    PendingPublish pending = new PendingPublish(lastId, publish, reply, nowMs + TIME_LIMIT_MS);
    pendingById.put(lastId, pending);
    send(pending, nowMs);
  }

  /** Processes the answer of the leader to a forwarded publish. */
  void replyReceived(PeerMessage.PublishReply message, long nowMs) {
    Optional<PendingPublish> found =
        message.incarnation().equals(incarnation)
            ? Optional.ofNullable(pendingById.get(message.id()))
            : Optional.empty();
    if (found.isEmpty()) {
      counters.add(ConfigurationEvent.ANSWER_IGNORED);
      return;
    }
    PendingPublish pending = found.get();
    if (message.answer().outcome() == PublishOutcome.ACCEPTED) {
      pending.accepted = true;
      return;
    }
    pending.answer = Optional.of(message.answer());
    finish(pending, nowMs);
  }

  /** Schedules an early resend, because the instance asked last is not the leader. */
  void leaderHintReceived(long nowMs) {
    for (PendingPublish pending : pendingById.values()) {
      pending.nextAttemptMs =
          Math.min(pending.nextAttemptMs, Math.max(nowMs, pending.lastSendMs + RETRY_MS));
    }
  }

  long nextTickMs() {
    long next = Long.MAX_VALUE;
    for (PendingPublish pending : pendingById.values()) {
      next = Math.min(next, Math.min(pending.nextAttemptMs, pending.deadlineMs));
    }
    return next;
  }

  void tick(long nowMs) {
    List<PendingPublish> due = new ArrayList<>(pendingById.values());
    due.removeIf(pending -> nowMs < Math.min(pending.nextAttemptMs, pending.deadlineMs));
    for (PendingPublish pending : due) {
      if (pending.answer.isEmpty() && nowMs >= pending.deadlineMs) {
        pending.answer = Optional.of(answerAtDeadline(pending));
      }
      if (pending.answer.isPresent()) {
        finish(pending, nowMs);
      } else {
        send(pending, nowMs);
      }
    }
    removeAbandoned(nowMs);
  }

  private PublishAnswer answerAtDeadline(PendingPublish pending) {
    if (pending.accepted) {
      return PublishAnswer.of(pending.publish, PublishOutcome.ACCEPTED, NOT_YET_IN_FORCE);
    }
    counters.add(ConfigurationEvent.PUBLISH_UNANSWERED);
    return PublishAnswer.of(pending.publish, PublishOutcome.UNANSWERED, UNANSWERED);
  }

  private void send(PendingPublish pending, long nowMs) {
    pending.lastSendMs = nowMs;
    pending.nextAttemptMs = nowMs + RESEND_MS;
    sender.send(
        finder.candidate(),
        new PeerMessage.PublishForward(incarnation, pending.id, pending.publish));
  }

  private void finish(PendingPublish pending, long nowMs) {
    if (pending.reply.offer(pending.answer.orElseThrow())) {
      pendingById.remove(pending.id);
      return;
    }
    pending.nextAttemptMs = nowMs + REPLY_RETRY_MS;
    pending.deadlineMs = Math.max(pending.deadlineMs, pending.nextAttemptMs);
  }

  /** Drops publishes whose connection did not take the answer for a whole time limit. */
  private void removeAbandoned(long nowMs) {
    Iterator<PendingPublish> iterator = pendingById.values().iterator();
    while (iterator.hasNext()) {
      PendingPublish pending = iterator.next();
      if (nowMs >= pending.receivedAtMs + 2 * TIME_LIMIT_MS) {
        iterator.remove();
      }
    }
  }

  private static final class PendingPublish {
    private final long id;
    private final Publish publish;
    private final Outlet<PublishAnswer> reply;
    private final long receivedAtMs;
    private long deadlineMs;
    private long lastSendMs;
    private long nextAttemptMs;
    private boolean accepted;
    private Optional<PublishAnswer> answer = Optional.empty();

    PendingPublish(long id, Publish publish, Outlet<PublishAnswer> reply, long deadlineMs) {
      this.id = id;
      this.publish = publish;
      this.reply = reply;
      this.receivedAtMs = deadlineMs - TIME_LIMIT_MS;
      this.deadlineMs = deadlineMs;
    }
  }
}
