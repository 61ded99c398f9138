package dev.caroblb.configuration;

import dev.caroblb.core.Outlet;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Carries the publishes of this instance's publishers to the control leader. */
final class PublishForwarder {
  /** Time until a publisher gets an answer; it covers a change of leader and one lease. */
  static final long TIME_LIMIT_MS = 12_000;

  /** Each waiting publish can hold 1 MiB. */
  static final int MAX_WAITING = 32;

  private static final long RESEND_MS = 1_000;
  private static final long RETRY_MS = 200;

  /** Wait before an answer is offered again to a publisher's connection that had no room. */
  private static final long REPLY_RETRY_MS = 100;

  private static final String UNANSWERED =
      "no control leader answered in time, and the publish may have been accepted;"
          + " send the same files under the same number again";
  private static final String NOT_YET =
      "accepted, but not in force everywhere yet; send the same publish again to learn more";
  private static final String OVERLOADED =
      "too many publishes wait at this instance and nothing was sent;"
          + " send the same publish again later or to another instance";

  private final String incarnation;
  private final LeaderFinder finder;
  private final PeerSender sender;
  private final ConfigurationCounters counters;
  private final Map<Long, Pending> pendingById = new TreeMap<>();
  private long lastId;

  PublishForwarder(
      String incarnation, LeaderFinder finder, PeerSender sender, ConfigurationCounters counters) {
    this.incarnation = incarnation;
    this.finder = finder;
    this.sender = sender;
    this.counters = counters;
  }

  /** Accepts a publish of a publisher that is connected to this instance. */
  void requested(Publish publish, Outlet<PublishAnswer> reply, long nowMs) {
    if (pendingById.size() >= MAX_WAITING) {
      counters.add(ConfigurationEvent.PUBLISH_OVERLOADED);
      // The publisher repeats the request when this answer finds no room.
      boolean unused =
          reply.offer(PublishAnswer.of(publish, PublishOutcome.UNANSWERED, OVERLOADED));
      return;
    }
    lastId++;
    Pending pending = new Pending(lastId, publish, reply, nowMs + TIME_LIMIT_MS);
    pendingById.put(lastId, pending);
    send(pending, nowMs);
  }

  /** Processes an answer of the leader. */
  void replied(PeerMessage.PublishReply message, long nowMs) {
    Optional<Pending> found =
        message.incarnation().equals(incarnation)
            ? Optional.ofNullable(pendingById.get(message.id()))
            : Optional.empty();
    if (found.isEmpty()) {
      counters.add(ConfigurationEvent.ANSWER_IGNORED);
      return;
    }
    Pending pending = found.get();
    if (message.answer().outcome() == PublishOutcome.ACCEPTED) {
      pending.accepted = true;
      return;
    }
    pending.answer = Optional.of(message.answer());
    finish(pending, nowMs);
  }

  /** Asks again soon because the instance asked before is not the leader. */
  void notLeader(long nowMs) {
    for (Pending pending : pendingById.values()) {
      pending.nextMs = Math.min(pending.nextMs, Math.max(nowMs, pending.lastSendMs + RETRY_MS));
    }
  }

  long nextTickMs() {
    long next = Long.MAX_VALUE;
    for (Pending pending : pendingById.values()) {
      next = Math.min(next, Math.min(pending.nextMs, pending.limitMs));
    }
    return next;
  }

  void tick(long nowMs) {
    List<Pending> due = new ArrayList<>(pendingById.values());
    due.removeIf(pending -> nowMs < Math.min(pending.nextMs, pending.limitMs));
    for (Pending pending : due) {
      if (pending.answer.isEmpty() && nowMs >= pending.limitMs) {
        pending.answer = Optional.of(answerAtLimit(pending));
      }
      if (pending.answer.isPresent()) {
        finish(pending, nowMs);
      } else {
        send(pending, nowMs);
      }
    }
    removeAbandoned(nowMs);
  }

  private PublishAnswer answerAtLimit(Pending pending) {
    if (pending.accepted) {
      return PublishAnswer.of(pending.publish, PublishOutcome.ACCEPTED, NOT_YET);
    }
    counters.add(ConfigurationEvent.PUBLISH_UNANSWERED);
    return PublishAnswer.of(pending.publish, PublishOutcome.UNANSWERED, UNANSWERED);
  }

  private void send(Pending pending, long nowMs) {
    pending.lastSendMs = nowMs;
    pending.nextMs = nowMs + RESEND_MS;
    sender.send(
        finder.target(), new PeerMessage.PublishForward(incarnation, pending.id, pending.publish));
  }

  private void finish(Pending pending, long nowMs) {
    if (pending.reply.offer(pending.answer.orElseThrow())) {
      pendingById.remove(pending.id);
      return;
    }
    pending.nextMs = nowMs + REPLY_RETRY_MS;
    pending.limitMs = Math.max(pending.limitMs, pending.nextMs);
  }

  /** A connection that takes no answer for a whole time limit is considered gone. */
  private void removeAbandoned(long nowMs) {
    Iterator<Pending> all = pendingById.values().iterator();
    while (all.hasNext()) {
      Pending pending = all.next();
      if (nowMs >= pending.startMs + 2 * TIME_LIMIT_MS) {
        all.remove();
      }
    }
  }

  private static final class Pending {
    private final long id;
    private final Publish publish;
    private final Outlet<PublishAnswer> reply;
    private final long startMs;
    private long limitMs;
    private long lastSendMs;
    private long nextMs;
    private boolean accepted;
    private Optional<PublishAnswer> answer = Optional.empty();

    Pending(long id, Publish publish, Outlet<PublishAnswer> reply, long limitMs) {
      this.id = id;
      this.publish = publish;
      this.reply = reply;
      this.startMs = limitMs - TIME_LIMIT_MS;
      this.limitMs = limitMs;
    }
  }
}
