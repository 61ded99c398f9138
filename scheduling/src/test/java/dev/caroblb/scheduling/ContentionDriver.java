package dev.caroblb.scheduling;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.RemoteLoad;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetLoad;
import dev.caroblb.targets.TargetPool;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/** Plays requests against a coordinator, with engines that hold memory for a time. */
final class ContentionDriver {
  static final long MEMORY = 26_882;
  private static final int SLOTS = 24;
  private static final int ENTRIES = 8;
  private static final long STEP_MS = 10;
  private static final long REPORT_MS = 50;
  private static final long FIRST_EVENT_MS = 400;
  private static final FailureDomain ZONE = new FailureDomain("zone-a");

  /** What a caller does when it is rejected. */
  enum Caller {
    RETURNS_ONCE,
    REPEATS_AT_ONCE
  }

  /** A stream of equal requests. */
  record Kind(
      String workspace, int priority, long tokens, long holdMs, long objectiveMs, Caller caller) {
    long deadlineMs() {
      return 5 * holdMs;
    }
  }

  /** Results of the requests of one kind. */
  static final class Outcome {
    int offered;
    int inTime;
    int late;
    int lost;
    int rejections;

    double share() {
      return offered == 0 ? 0 : (double) inTime / offered;
    }

    Outcome plus(Outcome other) {
      Outcome sum = new Outcome();
      sum.offered = offered + other.offered;
      sum.inTime = inTime + other.inTime;
      sum.late = late + other.late;
      sum.lost = lost + other.lost;
      sum.rejections = rejections + other.rejections;
      return sum;
    }

    /** Number of requests that were started or given up. */
    int answered() {
      return inTime + late + lost;
    }
  }

  /** One caller's request, with all its attempts. */
  final class Call {
    final Kind kind;
    final Outcome outcome;
    final int id = ++calls;
    final long firstMs = nowMs;
    private int returns;
    private long attemptMs;

    Call(Kind kind, Outcome outcome) {
      this.kind = kind;
      this.outcome = outcome;
      outcome.offered++;
    }
  }

  private record Due(Call call, TargetId target, InstanceId entry) {}

  final List<Long> returnTimes = new ArrayList<>();
  final List<Long> retryAfters = new ArrayList<>();
  int rejectedWithRoom;
  long nowMs = 1_000;
  private final int engines;
  private final Random random;
  private final Random holds = new Random(1);
  private final ArrayDeque<PeerEnvelope<PeerMessage>> sent = new ArrayDeque<>();
  private final Map<Long, Call> byTicket = new HashMap<>();
  private final TreeMap<Long, List<Due>> ends = new TreeMap<>();
  private final TreeMap<Long, List<Call>> repeats = new TreeMap<>();
  private final Map<InstanceId, Map<TargetId, TargetLoad>> loads = new HashMap<>();
  private final Map<InstanceId, Long> lastGrant = new HashMap<>();

  /** Tokens at each target without the ends that are not reported yet. */
  private final Map<TargetId, Long> known = new HashMap<>();

  private final List<Due> unreported = new ArrayList<>();
  private PlacementCoordinator coordinator;
  private int processes;
  private int calls;
  private long tickets = 1L << 32;

  ContentionDriver(int engines, long seed) {
    this.engines = engines;
    random = new Random(seed);
    replaceCoordinator();
  }

  /** Starts a coordinator without state; requests queued at the former one are asked again. */
  void replaceCoordinator() {
    PlacementLedger ledger = new PlacementLedger(RemoteLoad.MAX_AGE_MS);
    TargetLimits limits = new TargetLimits();
    TargetPool pool = new TargetPool(new Random(1), List.of(ledger), limits);
    coordinator =
        new PlacementCoordinator(
            sent::add,
            pool,
            ledger,
            limits,
            new ProcessSequence(new Random(++processes)),
            new Random(1));
    pool.setEngineLimits(Map.of("service", new EngineLimits(SLOTS, MEMORY, true, false, 4)));
    for (int i = 0; i < engines; i++) {
      pool.available(
          new TargetInfo(new TargetId("t" + i), 1, "service", "10.0.0." + i + ":80", ZONE));
    }
    lastGrant.clear();
    report();
    List<Call> queued = new ArrayList<>(byTicket.values());
    byTicket.clear();
    queued.forEach(this::request);
  }

  /** Offers requests at a rate for a time, given for each kind, and runs the engines. */
  Map<Kind, Outcome> run(long durationMs, Map<Kind, Double> perSecond) {
    Map<Kind, Outcome> outcomes = new HashMap<>();
    List<Kind> kinds = new ArrayList<>(perSecond.keySet());
    kinds.sort(Comparator.comparing(Kind::toString));
    kinds.forEach(kind -> outcomes.put(kind, new Outcome()));
    for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += STEP_MS) {
      for (Kind kind : kinds) {
        double expected = perSecond.get(kind) * STEP_MS / 1_000;
        for (; random.nextDouble() < expected; expected--) {
          request(new Call(kind, outcomes.get(kind)));
        }
      }
      step();
    }
    return outcomes;
  }

  private void step() {
    while (!ends.isEmpty() && ends.firstKey() <= nowMs) {
      ends.pollFirstEntry().getValue().forEach(this::ended);
    }
    while (!repeats.isEmpty() && repeats.firstKey() <= nowMs) {
      repeats.pollFirstEntry().getValue().forEach(this::request);
    }
    if (nowMs % REPORT_MS == 0) {
      report();
    }
    if (nowMs >= coordinator.nextMs()) {
      coordinator.tick(nowMs);
      deliver();
    }
    abandon();
  }

  private void report() {
    for (int i = 0; i < ENTRIES; i++) {
      InstanceId entry = new InstanceId("entry-" + i);
      List<TargetLoad> load =
          List.copyOf(loads.computeIfAbsent(entry, id -> new HashMap<>()).values());
      for (Due due : unreported) {
        long tokens = due.entry().equals(entry) ? due.call().kind.tokens() : 0;
        known.merge(due.target(), -tokens, Long::sum);
      }
      unreported.removeIf(due -> due.entry().equals(entry));
      coordinator.loadReported(
          entry, new PeerMessage.LoadReport(lastGrant.getOrDefault(entry, 0L), load), nowMs);
      deliver();
    }
  }

  private void request(Call call) {
    long ticket = ++tickets;
    call.attemptMs = call.attemptMs == 0 ? nowMs : call.attemptMs;
    byTicket.put(ticket, call);
    long sinceMs = nowMs - call.attemptMs;
    Kind kind = call.kind;
    PlacementNeed need =
        new PlacementNeed(
            PlacementNeed.Purpose.START,
            "service",
            kind.tokens(),
            kind.tokens() * 3 / 4,
            Set.of(),
            ZONE,
            false,
            kind.priority(),
            Math.max(0, kind.objectiveMs() - sinceMs),
            Optional.of(kind.workspace()),
            Optional.of("request:" + call.id),
            sinceMs,
            Math.max(2_000, 4 * kind.objectiveMs()) - sinceMs,
            kind.deadlineMs() - (nowMs - call.firstMs),
            0,
            Optional.empty());
    InstanceId entry = new InstanceId("entry-" + call.id % ENTRIES);
    coordinator.placementRequested(entry, new PeerMessage.PlacementRequest(ticket, need), nowMs);
    deliver();
  }

  private void deliver() {
    while (!sent.isEmpty()) {
      PeerEnvelope<PeerMessage> each = sent.poll();
      if (each.message() instanceof PeerMessage.PlacementReply reply) {
        lastGrant.put(each.peer(), reply.grant());
        Optional.ofNullable(byTicket.remove(reply.ticket()))
            .ifPresent(call -> started(call, reply.target().orElseThrow(), each.peer()));
      } else if (each.message() instanceof PeerMessage.PlacementRejected rejected) {
        Optional.ofNullable(byTicket.remove(rejected.ticket()))
            .ifPresent(call -> rejected(call, rejected.retryAfterMs()));
      }
    }
  }

  private void started(Call call, TargetId target, InstanceId entry) {
    Kind kind = call.kind;
    long firstMs = nowMs + FIRST_EVENT_MS - call.firstMs;
    if (firstMs <= kind.objectiveMs()) {
      call.outcome.inTime++;
    } else {
      call.outcome.late++;
    }
    change(entry, target, kind, 1);
    known.merge(target, kind.tokens(), Long::sum);
    long holdMs = (long) (kind.holdMs() * (0.8 + 0.4 * holds.nextDouble()));
    ends.computeIfAbsent(nowMs + holdMs, ms -> new ArrayList<>()).add(new Due(call, target, entry));
  }

  private void ended(Due due) {
    change(due.entry(), due.target(), due.call().kind, -1);
    unreported.add(due);
  }

  private void change(InstanceId entry, TargetId target, Kind kind, int sign) {
    Map<TargetId, TargetLoad> own = loads.computeIfAbsent(entry, id -> new HashMap<>());
    TargetLoad load =
        own.getOrDefault(target, new TargetLoad(target, 1, 0, 0, 0))
            .plus(new TargetLoad(target, 1, sign, sign * kind.tokens(), 0));
    if (load.isZero()) {
      own.remove(target);
    } else {
      own.put(target, load);
    }
  }

  private void rejected(Call call, long retryAfterMs) {
    call.outcome.rejections++;
    rejectedWithRoom += hasRoom(call) ? 1 : 0;
    boolean hammers = call.kind.caller() == Caller.REPEATS_AT_ONCE;
    if (call.returns++ >= (hammers ? 100 : 1)) {
      call.outcome.lost++;
      return;
    }
    call.attemptMs = 0;
    long againMs = nowMs + (hammers ? REPORT_MS : retryAfterMs);
    if (!hammers) {
      returnTimes.add(againMs);
      retryAfters.add(retryAfterMs);
    }
    repeats.computeIfAbsent(againMs, ms -> new ArrayList<>()).add(call);
  }

  /**
   * Whether more engines have room for a request than requests are queued that came before it. Each
   * of these may have an engine kept free for it, which is no room for a later one.
   */
  private boolean hasRoom(Call call) {
    long free =
        engines - known.values().stream().filter(u -> u + call.kind.tokens() > MEMORY).count();
    long before = byTicket.values().stream().filter(each -> each.firstMs <= call.firstMs).count();
    return free > before;
  }

  /** Entries give up queued requests after three objectives. */
  private void abandon() {
    for (Map.Entry<Long, Call> each : List.copyOf(byTicket.entrySet())) {
      Call call = each.getValue();
      if (nowMs - call.attemptMs >= 3 * call.kind.objectiveMs()) {
        byTicket.remove(each.getKey());
        call.outcome.lost++;
        coordinator.placementCancelled(
            new InstanceId("entry-" + call.id % ENTRIES), each.getKey(), nowMs);
      }
    }
  }

  /** Number of queued requests. */
  int queued() {
    return byTicket.size();
  }
}
