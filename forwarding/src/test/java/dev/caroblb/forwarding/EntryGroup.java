package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.codec.LoadCodec;
import dev.caroblb.forwarding.quarantine.PromptPart;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Entries and control instances that are joined in memory, with engines that crash when they begin
 * to generate on one part of a prompt. Time is simulated.
 */
final class EntryGroup {
  static final PromptPart CRASHING = new PromptPart("crashing");
  private static final long STEP_MS = 10;
  private static final long MESSAGE_DELAY_MS = 3;
  private static final long PREFILL_MS = 400;
  private static final long GENERATION_MS = 1_500;
  private static final long RESTART_MS = 3_000;
  private static final long HEARTBEAT_MS = 1_200;

  /** Something that happens at a time. */
  private record Event(long dueMs, long number, Runnable action) {}

  /** An attempt at an engine. */
  private record Running(Instance entry, AttemptOrder order) {}

  /** An instance with its links to engines. */
  private final class Instance implements TargetPort, CallObserver {
    private final InstanceId id;
    private final ForwardingHandler handler;
    private final boolean control;

    Instance(String name, boolean control) {
      id = new InstanceId(name);
      this.control = control;
      handler =
          new ForwardingHandler(
              new ForwardingSettings(
                  id, new FailureDomain("zone-a"), 1_000, 32 << 20, 0.2, 10_000, 320),
              this,
              message -> {
                deliver(id, message);
                return true;
              },
              run -> true,
              this,
              new Random(name.hashCode()));
    }

    void handle(ForwardingMessage message) {
      handler.handle(message, nowMs);
    }

    @Override
    public void start(AttemptOrder order) {
      sent.add(order);
      sentMs.add(nowMs);
      EngineRun engine = new EngineRun(order.target().id(), order.target().incarnation());
      if (!up.getOrDefault(engine.target(), -1L).equals(engine.incarnation())) {
        in(1, () -> handle(failed(order, false)));
        return;
      }
      if (order.memory().isPresent()) {
        handle(
            new ForwardingMessage.Head(
                order.call().id(),
                order.attempt(),
                new ResponseHead(503, true, true, false, new ResponseFields() {})));
        return;
      }
      Running running = new Running(this, order);
      engines.computeIfAbsent(engine, e -> new ArrayList<>()).add(running);
      in(PREFILL_MS, () -> begin(engine, running));
    }

    @Override
    public void cancel(long call, int attempt) {
      engines
          .values()
          .forEach(
              all ->
                  all.removeIf(
                      r ->
                          r.entry() == this
                              && r.order().call().id() == call
                              && r.order().attempt() == attempt));
    }

    @Override
    public void acknowledge(long call, int attempt) {}

    /** Responds that the engine has ended, or that it no longer runs the generation. */
    @Override
    public void move(MoveOrder order) {
      AttemptOrder moved = lastOrder(order.call().id());
      EngineRun engine = new EngineRun(moved.target().id(), moved.target().incarnation());
      boolean ended = !up.getOrDefault(engine.target(), -1L).equals(engine.incarnation());
      MoveOutcome outcome =
          ended ? new MoveOutcome.SourceEnded("refused") : new MoveOutcome.NotRunning();
      in(
          1,
          () ->
              handle(
                  new ForwardingMessage.CopyEnded(
                      order.call().id(), order.attempt(), order.finalCopy(), outcome)));
    }

    private AttemptOrder lastOrder(long call) {
      return sent.stream()
          .filter(order -> order.call().id() == call)
          .reduce((earlier, later) -> later)
          .orElseThrow();
    }

    @Override
    public void refused(RefusalReason reason) {
      refusals.merge(reason, 1, Integer::sum);
    }

    @Override
    public void retried(RetryReason reason) {}

    @Override
    public void responded(long elapsedMs) {}

    @Override
    public void partGap(long gapMs) {}
  }

  private record EngineRun(TargetId target, long incarnation) {}

  private final LoadCodec codec = new LoadCodec();
  private final Map<InstanceId, Instance> instances = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::dueMs).thenComparing(Event::number));
  private final Map<EngineRun, List<Running>> engines = new HashMap<>();
  private final Map<TargetId, Long> up = new TreeMap<>(Comparator.comparing(TargetId::name));
  private final List<AttemptOrder> sent = new ArrayList<>();
  private final List<Long> sentMs = new ArrayList<>();
  private final List<Long> crashes = new ArrayList<>();
  private final Set<InstanceId> cutOff = new HashSet<>();
  final Map<RefusalReason, Integer> refusals = new HashMap<>();
  final Map<Long, RecordingCaller> callers = new HashMap<>();
  private long nowMs = 1_000;
  private long nextEvent;
  private long nextCall;

  EntryGroup(int controls, int entries, int engineCount) {
    for (int i = 0; i < controls; i++) {
      instances.put(new InstanceId("control-" + i), new Instance("control-" + i, true));
    }
    for (int i = 0; i < entries; i++) {
      instances.put(new InstanceId("entry-" + i), new Instance("entry-" + i, false));
    }
    instances.values().forEach(this::introduce);
    for (int i = 0; i < engineCount; i++) {
      startEngine(new TargetId("t" + i), 1);
    }
  }

  /** Replaces an instance by one without any state. */
  void restart(String name) {
    Instance before = instances.get(new InstanceId(name));
    Instance fresh = new Instance(name, before.control);
    instances.put(fresh.id, fresh);
    introduce(fresh);
    up.forEach((target, incarnation) -> fresh.handle(available(target, incarnation)));
  }

  private void introduce(Instance instance) {
    List<InstanceId> controls =
        instances.values().stream().filter(known -> known.control).map(known -> known.id).toList();
    instance.handle(new ForwardingMessage.TableInstalled(ForwardingFixture.table()));
    instance.handle(
        new ForwardingMessage.ControlInstancesChanged(
            instance.control ? List.of() : controls, instances.size() - controls.size()));
  }

  /** Drops all messages between this instance and the others. */
  void cutOff(String name) {
    cutOff.add(new InstanceId(name));
  }

  void rejoin(String name) {
    cutOff.remove(new InstanceId(name));
  }

  private void in(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, nextEvent++, action));
  }

  private void deliver(InstanceId from, PeerEnvelope<PeerMessage> envelope) {
    Payload bytes = codec.encode(envelope.message());
    if (cutOff.contains(from) || cutOff.contains(envelope.peer())) {
      return;
    }
    in(
        MESSAGE_DELAY_MS,
        () ->
            instances
                .get(envelope.peer())
                .handle(
                    new ForwardingMessage.FromPeer(
                        new PeerEnvelope<>(from, codec.decode(bytes).orElseThrow()))));
  }

  private static ForwardingMessage failed(AttemptOrder order, boolean wasSent) {
    return new ForwardingMessage.Failed(order.call().id(), order.attempt(), wasSent, "closed");
  }

  private static ForwardingMessage available(TargetId target, long incarnation) {
    return new ForwardingMessage.TargetAvailable(
        new TargetInfo(target, incarnation, "service", "10.0.0.1:80", new FailureDomain("zone-a")));
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
    instances.values().forEach(instance -> instance.handle(available(target, incarnation)));
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
    long number = nextCall++;
    RecordingCaller caller = new RecordingCaller();
    callers.put(number, caller);
    instances
        .get(new InstanceId("entry-" + entry))
        .handle(
            new ForwardingMessage.RequestArrived(
                new ForwardCall(
                    number,
                    "id-" + number,
                    "host",
                    path,
                    Optional.of(30_000L),
                    Optional.of("key"),
                    Optional.of(new GenerationSize(1_000, 400, Optional.of(300L))),
                    List.of(parts),
                    caller)));
    return number;
  }

  /** Lets time pass. */
  void advance(long ms) {
    long endMs = nowMs + ms;
    while (nowMs < endMs) {
      nowMs += STEP_MS;
      while (!events.isEmpty() && events.peek().dueMs() <= nowMs) {
        events.poll().action().run();
      }
      for (Instance instance : List.copyOf(instances.values())) {
        if (instance.handler.nextTickMs() <= nowMs) {
          instance.handler.tick(nowMs);
        }
      }
    }
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
