package dev.caroblb.forwarding;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.Outlet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses targets for the generations of all instances that ask this control instance, and lets
 * them wait while no engine has room. One place that knows of each choice at once fills memory more
 * evenly than instances that decide on counts of some tenths of a second ago. What it knows is
 * rebuilt from the statements of the instances, so that any control instance can take over.
 */
final class PlacementCoordinator {
  /** Work stated longer ago than this, in milliseconds, does not count. */
  static final long STALE_MS = 2_500;

  /**
   * Pause in milliseconds between two statements of the work of others, by which instances choose
   * when nobody answers.
   */
  private static final long STATE_MS = 1_000;

  private static final System.Logger LOGGER =
      System.getLogger(PlacementCoordinator.class.getName());

  private final Outlet<Addressed<PeerMessage>> peers;
  private final TargetPool pool;
  private final PlacementLedger ledger;
  private final PlacementQueue queue;
  private final Map<InstanceId, Long> statedAtMs = new HashMap<>();
  private int known;
  private long loggedMs = Long.MIN_VALUE / 2;
  private long lastGrant;

  PlacementCoordinator(
      Outlet<Addressed<PeerMessage>> peers, TargetPool pool, PlacementLedger ledger) {
    this.peers = peers;
    this.pool = pool;
    this.ledger = ledger;
    queue = new PlacementQueue(pool);
  }

  /** Sets the number of instances that serve callers, as far as it is known here. */
  void serving(int instances) {
    known = instances;
  }

  /** Takes over the work of an instance and states that of the others from time to time. */
  void stated(InstanceId peer, PeerMessage.OwnWork own, long nowMs) {
    ledger.expire(nowMs);
    ledger.stated(peer, own.upToGrant(), own.work(), nowMs);
    statedAtMs.keySet().retainAll(ledger.instances());
    queue.forgetOthers(ledger.instances(), nowMs - STALE_MS);
    placeQueued(nowMs);
    Long last = statedAtMs.get(peer);
    if (last != null && nowMs - last < STATE_MS) {
      return;
    }
    statedAtMs.put(peer, nowMs);
    logState(nowMs);
    // Some instances may ask another control instance; they share the budget for repeats as well.
    int instances = Math.max(known, ledger.instances().size());
    send(peer, new PeerMessage.OthersWork(instances, ledger.without(peer)));
  }

  private void logState(long nowMs) {
    if (nowMs - loggedMs < STATE_MS) {
      return;
    }
    loggedMs = nowMs;
    LOGGER.log(
        System.Logger.Level.INFO,
        LogLine.of("placement.state")
            .with("instances", ledger.instances().size())
            .with("requests", ledger.requests())
            .with("tokens", ledger.tokens())
            .with("room", pool.admittedTokens())
            .with("waiting", queue.size())
            .with("in_time", queue.inTime(nowMs))
            .toString());
  }

  /** Chooses a target at once, or as soon as one has room for a request that can wait. */
  void asked(InstanceId peer, PeerMessage.PlacementAsked asked, long nowMs) {
    PlacementNeed need = asked.need();
    if (need.purpose() == PlacementNeed.Purpose.MOVE) {
      move(peer, asked, nowMs);
      return;
    }
    PlacementQueue.Waiting waiting = new PlacementQueue.Waiting(peer, asked.ticket(), need, nowMs);
    Optional<Target> least = pool.choose(need, nowMs);
    // Where there is no target, or none that ever has room, waiting is in vain.
    if (least.isEmpty() || !pool.fitsEmpty(need) || !queue.add(waiting)) {
      start(waiting, least, nowMs);
      return;
    }
    placeQueued(nowMs);
    if (queue.holds(waiting)) {
      send(peer, new PeerMessage.PlacementQueued(asked.ticket()));
    }
  }

  private void move(InstanceId peer, PeerMessage.PlacementAsked asked, long nowMs) {
    Optional<Target> target = pool.chooseDestination(asked.need(), nowMs);
    lastGrant++;
    target.ifPresent(chosen -> grant(peer, chosen, 0, asked.need().tokens(), 0, nowMs));
    give(peer, asked.ticket(), target, Optional.empty());
  }

  /** An instance has ended a request that waited. */
  void dropped(InstanceId peer, long ticket) {
    queue.drop(peer, ticket);
  }

  /** Targets may have room that had none. */
  void placeQueued(long nowMs) {
    if (!queue.isEmpty()) {
      queue.place((waiting, target) -> start(waiting, Optional.of(target), nowMs), nowMs);
    }
  }

  private void start(PlacementQueue.Waiting waiting, Optional<Target> target, long nowMs) {
    PlacementNeed need = waiting.need();
    Optional<Target> backup = target.flatMap(chosen -> pool.chooseBackup(need, chosen, nowMs));
    InstanceId peer = waiting.instance();
    lastGrant++;
    target.ifPresent(chosen -> grant(peer, chosen, 1, need.tokens(), need.promptTokens(), nowMs));
    backup.ifPresent(engine -> grant(peer, engine, 0, need.tokens(), 0, nowMs));
    give(peer, waiting.ticket(), target, backup);
  }

  private void grant(
      InstanceId peer, Target target, long requests, long tokens, long promptTokens, long nowMs) {
    TargetInfo info = target.info();
    ledger.granted(
        peer,
        lastGrant,
        new TargetWork(info.id(), info.incarnation(), requests, tokens, promptTokens),
        nowMs);
  }

  private void give(
      InstanceId peer, long ticket, Optional<Target> target, Optional<Target> backup) {
    send(
        peer,
        new PeerMessage.PlacementGiven(
            ticket,
            lastGrant,
            target.map(chosen -> chosen.info().id()),
            backup.map(engine -> engine.info().id())));
  }

  private void send(InstanceId peer, PeerMessage message) {
    boolean unused = peers.offer(new Addressed<>(peer, message));
  }
}
