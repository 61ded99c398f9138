package dev.caroblb.forwarding;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells the control instances what this instance has given to targets, and one of them tells it the
 * sum of the others. Without that, all instances would choose the same target that looks idle to
 * each of them, such as one that has just started.
 */
final class WorkExchange {
  /** Shortest pause in milliseconds between two statements of the same instance. */
  private static final long MIN_PERIOD_MS = 100;

  /** Adds to the pause for each instance, so that the traffic at a control instance is bounded. */
  private static final long PERIOD_PER_INSTANCE_MS = 4;

  /** Unchanged work is stated again after this time. */
  private static final long REPEAT_MS = 1_000;

  /** Work stated longer ago than this does not count. */
  static final long STALE_MS = 2_500;

  /** Without an answer for this time another control instance is asked. */
  private static final long ANSWER_MS = 2_500;

  private record Stated(List<TargetWork> work, boolean answer, long atMs) {}

  private final Outlet<Addressed<PeerMessage>> peers;
  private final int preference;
  private final Map<InstanceId, Stated> stated = new HashMap<>();
  private List<InstanceId> contacts = List.of();
  private int instances = 1;
  private int asked;
  private List<TargetWork> lastOwn = List.of();
  private long lastOwnMs = Long.MIN_VALUE / 2;
  private long answeredMs;
  private long nextMs;

  /**
   * @param preference spreads the instances over the control instances that they ask
   */
  WorkExchange(Outlet<Addressed<PeerMessage>> peers, int preference) {
    this.peers = peers;
    this.preference = preference;
  }

  void follow(List<InstanceId> controls) {
    contacts = List.copyOf(controls);
  }

  long nextMs() {
    return nextMs;
  }

  void tick(List<TargetWork> own, long nowMs) {
    nextMs = nowMs + Math.max(MIN_PERIOD_MS, PERIOD_PER_INSTANCE_MS * instances);
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
    int chosen = Math.floorMod(preference + asked, contacts.size());
    for (int i = 0; i < contacts.size(); i++) {
      send(contacts.get(i), new PeerMessage.OwnWork(i == chosen, own));
    }
  }

  private void stateOthers(long nowMs) {
    stated.values().removeIf(known -> nowMs - known.atMs() >= STALE_MS);
    if (!stated.isEmpty()) {
      instances = stated.size();
    }
    Map<TargetRun, TargetWork> total = new HashMap<>();
    for (Stated known : stated.values()) {
      known.work().forEach(work -> total.merge(TargetRun.of(work), work, TargetWork::plus));
    }
    stated.forEach(
        (peer, known) -> {
          if (known.answer()) {
            send(peer, new PeerMessage.OthersWork(stated.size(), without(total, known.work())));
          }
        });
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
    return others;
  }

  void received(InstanceId peer, PeerMessage.OwnWork own, long nowMs) {
    stated.put(peer, new Stated(own.work(), own.answer(), nowMs));
  }

  void answered(int count, long nowMs) {
    instances = Math.max(1, count);
    answeredMs = nowMs;
  }

  private void send(InstanceId peer, PeerMessage message) {
    boolean unused = peers.offer(new Addressed<>(peer, message));
  }
}
