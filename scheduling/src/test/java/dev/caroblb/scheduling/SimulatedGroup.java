package dev.caroblb.scheduling;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import dev.caroblb.routing.CallerLimits;
import dev.caroblb.routing.EngineLimits;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.routing.Service;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.SpeedObservation;
import dev.caroblb.targets.SpeedObservations;
import dev.caroblb.targets.TargetInfo;
import dev.caroblb.targets.TargetLoad;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

/** One entry and one control instance in front of simulated engines. */
final class SimulatedGroup {
  static final long PROMPT = 3_000;
  static final int OUTPUT = 752;
  static final long OBJECTIVE_MS = 1_807;
  static final long PAUSE_OBJECTIVE_MS = 180;
  static final FailureDomain ZONE = new FailureDomain("zone-a");
  private static final InstanceId ENTRY = new InstanceId("entry");
  private static final long TICK_MS = 20;
  private static final long REPORT_MS = 60;

  final Map<TargetId, SimulatedEngine> engines = new LinkedHashMap<>();
  final List<Double> pauses = new ArrayList<>();
  final List<SimulatedEngine.Generation> ended = new ArrayList<>();
  final List<TargetId> chosen = new ArrayList<>();
  PeerMessage.RemoteLoadReport lastReport = new PeerMessage.RemoteLoadReport(1, List.of());
  boolean withheld;
  long nowMs = 10_000;

  private final Map<Long, Long> arrivals = new HashMap<>();
  private final SpeedObservations observations = new SpeedObservations();
  private final SchedulingHandler handler;
  private final Random random = new Random(7);
  private double due;
  private long nextTicket = 1;
  private long lastGrant;

  SimulatedGroup(int count) {
    handler = new SchedulingHandler(e -> received(e.message()), e -> true, new Random(1));
    EngineLimits limits = new EngineLimits(24, 26_887, true, false, 4);
    Service service = new Service("service", 64, Optional.of(limits));
    handler.handle(
        new SchedulingMessage.TableInstalled(
            new RoutingTable(
                1, List.of(), Map.of("service", service), CallerLimits.DEFAULTS, Optional.empty())),
        nowMs);
    for (int i = 0; i < count; i++) {
      add(i, 1, 1, ZONE);
    }
  }

  SimulatedEngine add(int number, long incarnation, double slowness, FailureDomain domain) {
    TargetId id = new TargetId("t" + number);
    TargetInfo info = new TargetInfo(id, incarnation, "service", "10.0.0." + number, domain);
    SimulatedEngine engine = new SimulatedEngine(info, slowness);
    engines.put(id, engine);
    handler.handle(new SchedulingMessage.TargetAvailable(info), nowMs);
    return engine;
  }

  SimulatedEngine engine(int number) {
    return engines.get(new TargetId("t" + number));
  }

  private boolean received(PeerMessage message) {
    if (message instanceof PeerMessage.PlacementReply reply) {
      lastGrant = reply.grant();
      TargetId target = reply.target().orElseThrow();
      chosen.add(target);
      engines
          .get(target)
          .start((double) arrivals.remove(reply.ticket()), (double) nowMs, PROMPT, OUTPUT);
    } else if (message instanceof PeerMessage.RemoteLoadReport report) {
      lastReport = report;
    }
    return true;
  }

  /** Sends requests at a mean rate for some time. */
  void run(long durationMs, double requestsPerSecond) {
    for (long endMs = nowMs + durationMs; nowMs < endMs; nowMs += TICK_MS) {
      for (SimulatedEngine engine : engines.values()) {
        ended.addAll(engine.run((double) nowMs, observations, pauses));
      }
      if (nowMs % REPORT_MS == 0) {
        report(ENTRY, withheld ? List.of() : observations.take(nowMs));
      }
      due += requestsPerSecond * TICK_MS / 1_000 * 2 * random.nextDouble();
      for (; due >= 1; due--) {
        request(ZONE);
      }
    }
  }

  void request(FailureDomain domain) {
    long ticket = nextTicket++;
    arrivals.put(ticket, nowMs);
    PlacementNeed need =
        new PlacementNeed(
            PlacementNeed.Purpose.START,
            "service",
            PROMPT + OUTPUT,
            PROMPT,
            Set.of(),
            domain,
            false,
            1,
            OBJECTIVE_MS,
            PAUSE_OBJECTIVE_MS);
    fromPeer(ENTRY, new PeerMessage.PlacementRequest(ticket, need));
  }

  void report(InstanceId peer, List<SpeedObservation> observed) {
    List<TargetLoad> loads = new ArrayList<>();
    if (peer.equals(ENTRY)) {
      engines.values().stream()
          .filter(engine -> engine.running() > 0)
          .forEach(engine -> loads.add(engine.load()));
    }
    fromPeer(peer, new PeerMessage.LoadReport(peer.equals(ENTRY) ? lastGrant : 0, loads, observed));
  }

  private void fromPeer(InstanceId peer, PeerMessage message) {
    handler.handle(
        new SchedulingMessage.FromPeer(new dev.caroblb.core.PeerEnvelope<>(peer, message)), nowMs);
  }

  /** Learned speed of an engine in thousandths; empty if nothing was observed. */
  Optional<Integer> permille(int number) {
    return lastReport.speeds().stream()
        .filter(speed -> speed.run().equals(engine(number).info().run()))
        .map(speed -> speed.permille())
        .findFirst();
  }

  double shareOfLongPauses() {
    return (double) pauses.stream().filter(ms -> ms > PAUSE_OBJECTIVE_MS).count() / pauses.size();
  }

  double shareInTime() {
    long inTime =
        ended.stream()
            .filter(g -> g.longestPauseMs() <= PAUSE_OBJECTIVE_MS)
            .filter(g -> g.firstEventAfterMs <= OBJECTIVE_MS)
            .count();
    return (double) inTime / ended.size();
  }

  double firstEventMs(double quantile) {
    double[] sorted = ended.stream().mapToDouble(g -> g.firstEventAfterMs).sorted().toArray();
    return sorted[(int) (quantile * (sorted.length - 1))];
  }
}
