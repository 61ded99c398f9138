package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.quarantine.PromptPart;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Entries and control instances that are joined in memory, with engines that crash when they begin
 * to generate on one part of a prompt. Time is simulated.
 */
final class EntryGroup extends InstanceGroup {
  static final PromptPart CRASHING = new PromptPart("crashing");
  private static final long PREFILL_MS = 400;
  private static final long GENERATION_MS = 1_500;
  private static final long RESTART_MS = 3_000;
  private static final long HEARTBEAT_MS = 1_200;

  /** An attempt at an engine. */
  private record Running(Instance entry, AttemptOrder order) {}

  @Override
  void started(Instance from, AttemptOrder order) {
    sent.add(order);
    sentMs.add(nowMs);
    EngineRun engine = new EngineRun(order.target().id(), order.target().incarnation());
    if (!up.getOrDefault(engine.target(), -1L).equals(engine.incarnation())) {
      in(1, () -> from.handle(failed(order, false)));
      return;
    }
    if (order.memory().isPresent()) {
      from.handle(
          new ForwardingMessage.Head(
              order.call().id(),
              order.attempt(),
              new ResponseHead(503, true, true, false, new ResponseFields() {})));
      return;
    }
    Running running = new Running(from, order);
    engines.computeIfAbsent(engine, e -> new ArrayList<>()).add(running);
    in(PREFILL_MS, () -> begin(engine, running));
  }

  @Override
  void cancelled(Instance from, long call, int attempt) {
    engines
        .values()
        .forEach(
            all ->
                all.removeIf(
                    r ->
                        r.entry() == from
                            && r.order().call().id() == call
                            && r.order().attempt() == attempt));
  }

  /** Responds that the engine has ended, or that it no longer runs the generation. */
  @Override
  void moveOrdered(Instance from, MoveOrder order) {
    AttemptOrder moved = lastOrder(order.call().id());
    EngineRun engine = new EngineRun(moved.target().id(), moved.target().incarnation());
    boolean ended = !up.getOrDefault(engine.target(), -1L).equals(engine.incarnation());
    MoveOutcome outcome =
        ended ? new MoveOutcome.SourceEnded("refused") : new MoveOutcome.NotRunning();
    in(
        1,
        () ->
            from.handle(
                new ForwardingMessage.CopyEnded(
                    order.call().id(), order.attempt(), order.finalCopy(), outcome)));
  }

  private AttemptOrder lastOrder(long call) {
    return sent.stream()
        .filter(order -> order.call().id() == call)
        .reduce((earlier, later) -> later)
        .orElseThrow();
  }

  private record EngineRun(TargetId target, long incarnation) {}

  private final Map<EngineRun, List<Running>> engines = new HashMap<>();
  private final Map<TargetId, Long> up = new TreeMap<>(Comparator.comparing(TargetId::name));
  private final List<AttemptOrder> sent = new ArrayList<>();
  private final List<Long> sentMs = new ArrayList<>();
  private final List<Long> crashes = new ArrayList<>();

  EntryGroup(int controls, int entries, int engineCount) {
    super(controls, entries);
    for (int i = 0; i < engineCount; i++) {
      startEngine(new TargetId("t" + i), 1);
    }
  }

  private static ForwardingMessage failed(AttemptOrder order, boolean wasSent) {
    return new ForwardingMessage.Failed(order.call().id(), order.attempt(), wasSent, "closed");
  }

  @Override
  Map<TargetId, Long> runningTargets() {
    return up;
  }

  private void startEngine(TargetId target, long incarnation) {
    up.put(target, incarnation);
    sendHeartbeats(target, incarnation);
  }

  /** Sends heartbeats of an engine to all instances for as long as this run of it lasts. */
  private void sendHeartbeats(TargetId target, long incarnation) {
    if (!up.getOrDefault(target, -1L).equals(incarnation)) {
      return;
    }
    announce(target, incarnation);
    in(HEARTBEAT_MS, () -> sendHeartbeats(target, incarnation));
  }

  /** Breaks all connections of an engine; it starts again after a few seconds. */
  void crash(TargetId target) {
    long incarnation = up.remove(target);
    EngineRun engine = new EngineRun(target, incarnation);
    for (Running running : Optional.ofNullable(engines.remove(engine)).orElse(List.of())) {
      running.entry().handle(failed(running.order(), true));
    }
    in(RESTART_MS, () -> startEngine(target, incarnation + 1));
  }

  List<TargetId> engines() {
    return List.copyOf(up.keySet());
  }

  /** Breaks the connections of one engine, which goes on running. */
  void resetConnections(TargetId target) {
    EngineRun engine = new EngineRun(target, up.get(target));
    for (Running running : Optional.ofNullable(engines.remove(engine)).orElse(List.of())) {
      running.entry().handle(failed(running.order(), true));
    }
  }

  private void begin(EngineRun engine, Running running) {
    if (!engines.getOrDefault(engine, List.of()).contains(running)) {
      return;
    }
    ForwardCall call = running.order().call();
    int attempt = running.order().attempt();
    running
        .entry()
        .handle(new ForwardingMessage.Head(call.id(), attempt, ForwardingFixture.head(200, true)));
    if (call.sharedPromptParts().contains(CRASHING)) {
      crashes.add(nowMs);
      crash(engine.target());
      return;
    }
    content(running, ForwardingFixture.FIRST_EVENT);
    in(
        GENERATION_MS,
        () -> {
          if (engines.getOrDefault(engine, new ArrayList<>()).remove(running)) {
            content(running, ForwardingFixture.SECOND_EVENT);
            running.entry().handle(new ForwardingMessage.Ended(call.id(), attempt));
          }
        });
  }

  private static void content(Running running, String text) {
    running
        .entry()
        .handle(
            new ForwardingMessage.Body(
                running.order().call().id(), running.order().attempt(), Payload.ofText(text)));
  }

  /** Lets a request arrive at an entry; returns its number. */
  long arrive(int entry, String path, PromptPart... parts) {
    return arrive(entry, path, List.of(parts), Optional.empty());
  }

  /** Lets a caller take up the stream of an earlier request; returns the number of its request. */
  long takeUp(int entry, String path, long firstRequest) {
    StreamTakeUp takeUp = new StreamTakeUp(Optional.of("id-" + firstRequest));
    return arrive(entry, path, List.of(), Optional.of(takeUp));
  }

  private long arrive(
      int entry, String path, List<PromptPart> parts, Optional<StreamTakeUp> takeUp) {
    long number = nextCall();
    RecordingCaller unused =
        arrive(
            entry,
            new ForwardCall(
                number,
                "id-" + number,
                "host",
                path,
                Optional.of(30_000L),
                Optional.of("key"),
                Optional.of(new GenerationSize(1_000, 400, Optional.of(300L))),
                parts,
                new RecordingCaller(),
                0,
                takeUp));
    return number;
  }

  /** Number of crashes that the part caused. */
  int crashes() {
    return crashes.size();
  }

  /** Requests with the crashing part sent to engines later than a time after the fifth crash. */
  long sentAfterFifthCrash(long contactMs) {
    if (crashes.size() < 5) {
      return 0;
    }
    long fromMs = crashes.get(4) + contactMs;
    long count = 0;
    for (int i = 0; i < sent.size(); i++) {
      boolean crashing = sent.get(i).call().sharedPromptParts().contains(CRASHING);
      count += crashing && sentMs.get(i) > fromMs ? 1 : 0;
    }
    return count;
  }

  /** Whether a request got its first event. */
  boolean begun(long call) {
    return callers.get(call).events.stream().anyMatch(event -> event.startsWith("part"));
  }
}
