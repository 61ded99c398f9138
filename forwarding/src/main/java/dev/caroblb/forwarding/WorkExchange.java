package dev.caroblb.forwarding;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells a control instance what this instance has given to targets, and gets the sum of the others.
 * Without that, all instances would choose the same target that looks idle to each of them, such as
 * one that has just started. All instances ask the same control instance, so that one message
 * states the work of an instance; when it does not answer, each goes on to the next.
 */
final class WorkExchange {
  /** Shortest pause in milliseconds between two statements of the same instance. */
  private static final long MIN_PERIOD_MS = 100;

  /** Adds to the pause for each instance, so that the traffic at a control instance is bounded. */
  private static final long PERIOD_PER_INSTANCE_MS = 2;

  /** Unchanged work is stated again after this time, and so is that of others. */
  private static final long REPEAT_MS = 1_000;

  /** Work stated longer ago than this does not count. */
  static final long STALE_MS = 2_500;

  /** Without an answer for this time another control instance is asked. */
  private static final long ANSWER_MS = 2_500;

  private record Stated(List<TargetWork> work, long atMs) {}

  private record Answered(List<TargetWork> work, long atMs) {}

  private final Outlet<Addressed<PeerMessage>> peers;
  private final Map<InstanceId, Stated> stated = new HashMap<>();
  private List<InstanceId> contacts = List.of();
  private int instances = 1;
  private int known;
  private int asked;
  private List<TargetWork> lastOwn = List.of();
  private long lastOwnMs = Long.MIN_VALUE / 2;
  private final Map<InstanceId, Answered> answers = new HashMap<>();
  private long answeredMs;
  private long lastTickMs = Long.MIN_VALUE / 2;
  private long nextMs;

  WorkExchange(Outlet<Addressed<PeerMessage>> peers) {
    this.peers = peers;
  }

  /**
   * Sets the control instances, which all instances ask in the same order, and the number of
   * instances that serve callers, as far as it is known here. A change starts with the first one
   * again, so that instances that went on to another one meet again.
   */
  void follow(List<InstanceId> controls, int serving) {
    known = serving;
    List<InstanceId> sorted =
        controls.stream().sorted(Comparator.comparing(InstanceId::name)).toList();
    if (!sorted.equals(contacts)) {
      contacts = sorted;
      asked = 0;
    }
  }

  long nextMs() {
    return nextMs;
  }

  /** What is to be told may have changed. */
  void touched() {
    long periodMs = Math.max(MIN_PERIOD_MS, PERIOD_PER_INSTANCE_MS * instances);
    nextMs = Math.min(nextMs, lastTickMs + periodMs);
  }

  void tick(List<TargetWork> own, long nowMs) {
    lastTickMs = nowMs;
    nextMs = nowMs + REPEAT_MS;
    stateOwn(own, nowMs);
    stateOthers(nowMs);
  }

  private void stateOwn(List<TargetWork> own, long nowMs) {
    boolean repeat = nowMs - lastOwnMs >= REPEAT_MS;
    if (contacts.isEmpty() || (own.equals(lastOwn) && !repeat)) {
      return;
    }
    if (nowMs - answeredMs >= ANSWER_MS) {
      answeredMs = nowMs;
      asked++;
    }
    lastOwn = own;
    lastOwnMs = nowMs;
    InstanceId chosen = contacts.get(Math.floorMod(asked, contacts.size()));
    send(chosen, new PeerMessage.OwnWork(own));
  }

  private void stateOthers(long nowMs) {
    stated.values().removeIf(statement -> nowMs - statement.atMs() >= STALE_MS);
    answers.keySet().retainAll(stated.keySet());
    if (stated.isEmpty()) {
      return;
    }
    // Some instances may ask another control instance; they share the budget for repeats as well.
    instances = Math.max(known, stated.size());
    Map<TargetRun, TargetWork> total = new HashMap<>();
    for (Stated statement : stated.values()) {
      statement.work().forEach(work -> total.merge(TargetRun.of(work), work, TargetWork::plus));
    }
    stated.forEach((peer, statement) -> answer(peer, without(total, statement.work()), nowMs));
  }

  private void answer(InstanceId peer, List<TargetWork> work, long nowMs) {
    Answered last = answers.get(peer);
    if (last != null && last.work().equals(work) && nowMs - last.atMs() < REPEAT_MS) {
      return;
    }
    answers.put(peer, new Answered(work, nowMs));
    send(peer, new PeerMessage.OthersWork(instances, work));
  }

  private static List<TargetWork> without(Map<TargetRun, TargetWork> total, List<TargetWork> own) {
    Map<TargetRun, TargetWork> rest = new HashMap<>(total);
    for (TargetWork mine : own) {
      TargetWork negative =
          new TargetWork(
              mine.target(),
              mine.incarnation(),
              -mine.requests(),
              -mine.tokens(),
              -mine.unreadTokens());
      rest.merge(TargetRun.of(mine), negative, TargetWork::plus);
    }
    List<TargetWork> others = new ArrayList<>();
    for (TargetWork work : rest.values()) {
      if (work.requests() > 0 || work.tokens() > 0) {
        others.add(work);
      }
    }
    others.sort((a, b) -> a.target().name().compareTo(b.target().name()));
    return others;
  }

  void received(InstanceId peer, PeerMessage.OwnWork own, long nowMs) {
    stated.put(peer, new Stated(own.work(), nowMs));
    touched();
  }

  void answered(int count, long nowMs) {
    instances = Math.max(1, count);
    answeredMs = nowMs;
  }

  private void send(InstanceId peer, PeerMessage message) {
    boolean unused = peers.offer(new Addressed<>(peer, message));
  }
}
