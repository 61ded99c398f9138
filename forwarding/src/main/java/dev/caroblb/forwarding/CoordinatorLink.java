package dev.caroblb.forwarding;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Asks a control instance for targets and tells it what this instance has given to them. All
 * instances ask the same one; when it does not answer, each goes on to the next.
 */
final class CoordinatorLink {
  /** Shortest pause in milliseconds between two statements. */
  private static final long MIN_PERIOD_MS = 50;

  /** Unchanged work is stated again after this time in milliseconds. */
  private static final long REPEAT_MS = 1_000;

  /**
   * Time in milliseconds after which a request is placed without an answer. An answer takes two
   * milliseconds between failure domains; a busy instance is some tens of milliseconds late.
   */
  private static final long ASK_MS = 60;

  /** Unanswered questions in a row after which another control instance is asked. */
  private static final int MAX_UNANSWERED = 2;

  /** Without any answer for this time in milliseconds another control instance is asked. */
  private static final long ANSWER_MS = 2_500;

  private final Outlet<Addressed<PeerMessage>> peers;
  private final Map<Long, Long> callOfTicket = new HashMap<>();
  private List<InstanceId> controls = List.of();
  private int chosen;
  private int unanswered;
  private long lastTicket;
  private long lastGrant;
  private List<TargetWork> lastOwn = List.of();
  private long lastOwnMs = Long.MIN_VALUE / 2;
  private long answeredMs;
  private long lastTickMs = Long.MIN_VALUE / 2;
  private long nextMs;

  CoordinatorLink(Outlet<Addressed<PeerMessage>> peers) {
    this.peers = peers;
  }

  /**
   * Sets the control instances, which all instances ask in the same order. A change starts with the
   * first one again, so that instances that went on to another one meet again.
   */
  void follow(List<InstanceId> instances) {
    List<InstanceId> sorted =
        instances.stream().sorted(Comparator.comparing(InstanceId::name)).toList();
    if (!sorted.equals(controls)) {
      controls = sorted;
      turnTo(0);
    }
  }

  private void turnTo(int index) {
    chosen = index;
    unanswered = 0;
    lastGrant = 0;
    lastOwnMs = Long.MIN_VALUE / 2;
    nextMs = 0;
  }

  /** Asks for a target; returns until when an answer is worth waiting for. */
  Optional<Long> ask(Exchange exchange, PlacementNeed need, long nowMs) {
    if (controls.isEmpty()) {
      return Optional.empty();
    }
    forget(exchange);
    lastTicket++;
    callOfTicket.put(lastTicket, exchange.call().id());
    long answerByMs = nowMs + ASK_MS;
    exchange.ask(new Question(lastTicket, current(), need.purpose(), answerByMs, false));
    send(new PeerMessage.PlacementAsked(lastTicket, need));
    return Optional.of(answerByMs);
  }

  /** Takes a final answer; returns the request that it is for, unless that was given up. */
  Optional<Long> given(PeerMessage.PlacementGiven given, long nowMs) {
    heard(nowMs);
    lastGrant = given.grant();
    touched();
    return Optional.ofNullable(callOfTicket.remove(given.ticket()));
  }

  /** A request waits for room; returns it unless it was given up. */
  Optional<Long> queued(long ticket, long nowMs) {
    heard(nowMs);
    return Optional.ofNullable(callOfTicket.get(ticket));
  }

  /** A control instance has stated the work of others. */
  void stated(InstanceId control, long nowMs) {
    boolean first = !controls.isEmpty() && controls.get(0).equals(control);
    if (first && Math.floorMod(chosen, controls.size()) != 0) {
      turnTo(0);
    }
    heard(nowMs);
  }

  private void heard(long nowMs) {
    answeredMs = nowMs;
    unanswered = 0;
  }

  /** Whether a request still waits where its question was asked, so that an answer may come. */
  boolean waits(Exchange exchange, long nowMs) {
    return !controls.isEmpty()
        && !silent(nowMs)
        && exchange
            .question()
            .filter(question -> question.queued() && question.control().equals(current()))
            .isPresent();
  }

  private boolean silent(long nowMs) {
    return nowMs - answeredMs >= ANSWER_MS;
  }

  private InstanceId current() {
    return controls.get(Math.floorMod(chosen, controls.size()));
  }

  /** A request was not answered in time; another control instance may be asked from now on. */
  void unanswered(Exchange exchange) {
    forget(exchange);
    if (++unanswered >= MAX_UNANSWERED) {
      turnTo(chosen + 1);
    }
  }

  /** Withdraws the question of a request that has ended or was placed otherwise. */
  void forget(Exchange exchange) {
    Optional<Question> question = exchange.question();
    if (question.isEmpty()) {
      return;
    }
    exchange.answered();
    callOfTicket.remove(question.get().ticket());
    if (question.get().queued()) {
      send(question.get().control(), new PeerMessage.PlacementDropped(question.get().ticket()));
    }
  }

  long nextMs() {
    return controls.isEmpty() ? Long.MAX_VALUE : nextMs;
  }

  /** What is to be told may have changed. */
  void touched() {
    nextMs = Math.min(nextMs, lastTickMs + MIN_PERIOD_MS);
  }

  /** States the own work if it has changed or was not stated for a while. */
  void tick(List<TargetWork> own, long nowMs) {
    lastTickMs = nowMs;
    nextMs = nowMs + REPEAT_MS;
    boolean repeat = nowMs - lastOwnMs >= REPEAT_MS;
    if (controls.isEmpty() || (own.equals(lastOwn) && !repeat)) {
      return;
    }
    if (silent(nowMs)) {
      answeredMs = nowMs;
      turnTo(chosen + 1);
      nextMs = nowMs + REPEAT_MS;
    }
    lastOwn = own;
    lastOwnMs = nowMs;
    send(new PeerMessage.OwnWork(lastGrant, own));
    if (Math.floorMod(chosen, controls.size()) != 0) {
      // An answer of the first one shows that it is back.
      send(controls.get(0), new PeerMessage.OwnWork(0, own));
    }
  }

  private void send(PeerMessage message) {
    send(current(), message);
  }

  private void send(InstanceId control, PeerMessage message) {
    boolean unused = peers.offer(new Addressed<>(control, message));
  }
}
