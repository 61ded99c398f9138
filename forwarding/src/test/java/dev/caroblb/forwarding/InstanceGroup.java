package dev.caroblb.forwarding;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.codec.PeerMessageCodec;
import dev.caroblb.pacing.AnnouncedWarmUp;
import dev.caroblb.pacing.codec.PacingCodec;
import dev.caroblb.resumption.ResumptionHandler;
import dev.caroblb.resumption.ResumptionMessage;
import dev.caroblb.resumption.codec.ResumptionCodec;
import dev.caroblb.routing.RoutingTable;
import dev.caroblb.scheduling.SchedulingHandler;
import dev.caroblb.scheduling.SchedulingMessage;
import dev.caroblb.scheduling.codec.SchedulingCodec;
import dev.caroblb.targets.TargetInfo;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Entries and control instances that are joined in memory. Subclasses play the targets. Time is
 * simulated.
 */
abstract class InstanceGroup {
  private static final long STEP_MS = 10;
  private static final long MESSAGE_DELAY_MS = 3;

  /** Something that happens at a time. */
  private record Event(long dueMs, long number, Runnable action) {}

  /** An instance with its links to targets. */
  final class Instance implements TargetPort, CallObserver {
    private final InstanceId id;
    private final ForwardingHandler handler;
    private final SchedulingHandler scheduling;
    private final ResumptionHandler resumption;
    private final boolean control;

    Instance(String name, boolean control) {
      id = new InstanceId(name);
      this.control = control;
      handler =
          new ForwardingHandler(
              new ForwardingSettings(
                  id, new FailureDomain("zone-a"), 1_000, 32 << 20, 0.2, 10_000, 320),
              this,
              new ForwardingOutlets(
                  message -> deliver(id, message, schedulingCodec, Instance::fromScheduling),
                  message -> deliver(id, message, pacingCodec, Instance::limitsFromPeer),
                  message -> deliver(id, message, evidenceCodec, Instance::fromPeer),
                  message -> deliver(id, message, resumptionCodec, Instance::fromResumption),
                  run -> true),
              this,
              new Random(name.hashCode()));
      scheduling =
          new SchedulingHandler(
              message -> deliver(id, message, schedulingCodec, Instance::fromScheduling),
              message -> deliver(id, message, pacingCodec, Instance::limitsFromPeer),
              new Random(name.hashCode()));
      resumption =
          new ResumptionHandler(
              message -> deliver(id, message, resumptionCodec, Instance::fromResumption),
              began -> true,
              List.of(),
              nowMs);
    }

    private void fromResumption(PeerEnvelope<dev.caroblb.resumption.PeerMessage> message) {
      if (control) {
        resumption.handle(new ResumptionMessage.FromPeer(message), nowMs);
      } else {
        handler.handle(new ForwardingMessage.FromResumption(message), nowMs);
      }
    }

    private void fromScheduling(PeerEnvelope<dev.caroblb.scheduling.PeerMessage> message) {
      if (control) {
        scheduling.handle(new SchedulingMessage.FromPeer(message), nowMs);
      } else {
        handler.handle(new ForwardingMessage.FromScheduler(message), nowMs);
      }
    }

    private void limitsFromPeer(PeerEnvelope<dev.caroblb.pacing.PeerMessage> message) {
      if (control) {
        scheduling.handle(new SchedulingMessage.LimitsFromPeer(message), nowMs);
      } else {
        handler.handle(new ForwardingMessage.LimitsFromPeer(message), nowMs);
      }
    }

    private void fromPeer(PeerEnvelope<PeerMessage> message) {
      handler.handle(new ForwardingMessage.FromPeer(message), nowMs);
    }

    private void available(TargetInfo target) {
      available(target, AnnouncedWarmUp.WARM);
    }

    private void available(TargetInfo target, AnnouncedWarmUp warmUp) {
      scheduling.handle(new SchedulingMessage.TargetAvailable(target, warmUp), nowMs);
      handler.handle(new ForwardingMessage.TargetAvailable(target, warmUp), nowMs);
    }

    void handle(ForwardingMessage message) {
      handler.handle(message, nowMs);
    }

    @Override
    public void start(AttemptOrder order) {
      started(this, order);
    }

    @Override
    public void cancel(long call, int attempt) {
      cancelled(this, call, attempt);
    }

    @Override
    public void acknowledge(long call, int attempt) {}

    @Override
    public void move(MoveOrder order) {
      moveOrdered(this, order);
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

  private final SchedulingCodec schedulingCodec = new SchedulingCodec();
  private final PacingCodec pacingCodec = new PacingCodec();
  private final ResumptionCodec resumptionCodec = new ResumptionCodec();
  private final PeerMessageCodec evidenceCodec = new PeerMessageCodec();
  private final RoutingTable table;
  private final Map<InstanceId, Instance> instances = new LinkedHashMap<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::dueMs).thenComparing(Event::number));
  private final Set<InstanceId> cutOff = new HashSet<>();
  private final Set<Set<InstanceId>> cutLinks = new HashSet<>();
  final Map<RefusalReason, Integer> refusals = new HashMap<>();
  final Map<Long, RecordingCaller> callers = new HashMap<>();
  long nowMs = 1_000;
  private long nextEvent;
  private long nextCall;

  InstanceGroup(int controls, int entries) {
    this(controls, entries, ForwardingFixture.table());
  }

  InstanceGroup(int controls, int entries, RoutingTable table) {
    this.table = table;
    for (int i = 0; i < controls; i++) {
      instances.put(new InstanceId("control-" + i), new Instance("control-" + i, true));
    }
    for (int i = 0; i < entries; i++) {
      instances.put(new InstanceId("entry-" + i), new Instance("entry-" + i, false));
    }
    instances.values().forEach(this::introduce);
  }

  /** Handles an attempt that an instance sends to a target. */
  abstract void started(Instance from, AttemptOrder order);

  void cancelled(Instance from, long call, int attempt) {}

  void moveOrdered(Instance from, MoveOrder order) {}

  /** The targets that an instance without any state learns of. */
  abstract Map<TargetId, Long> runningTargets();

  /** Replaces an instance by one without any state. */
  void restart(String name) {
    Instance before = instances.get(new InstanceId(name));
    Instance fresh = new Instance(name, before.control);
    instances.put(fresh.id, fresh);
    introduce(fresh);
    runningTargets().forEach((target, incarnation) -> fresh.available(info(target, incarnation)));
  }

  private void introduce(Instance instance) {
    List<InstanceId> controls =
        instances.values().stream().filter(known -> known.control).map(known -> known.id).toList();
    instance.handle(new ForwardingMessage.TableInstalled(table));
    instance.scheduling.handle(new SchedulingMessage.TableInstalled(table), nowMs);
    instance.scheduling.handle(
        new SchedulingMessage.ServingInstancesChanged(instances.size() - controls.size()), nowMs);
    instance.handle(
        new ForwardingMessage.ControlInstancesChanged(instance.control ? List.of() : controls));
    if (instance.control) {
      Set<InstanceId> entries = new HashSet<>(instances.keySet());
      controls.forEach(entries::remove);
      instance.resumption.handle(
          new ResumptionMessage.InstancesChanged(entries, Set.copyOf(controls)), nowMs);
    }
  }

  /** Drops all messages between this instance and the others. */
  void cutOff(String name) {
    cutOff.add(new InstanceId(name));
  }

  /** Drops all messages between two instances. */
  void cutLink(String name, String other) {
    cutLinks.add(Set.of(new InstanceId(name), new InstanceId(other)));
  }

  void rejoin(String name) {
    cutOff.remove(new InstanceId(name));
  }

  /** Tells one instance which failure domains are evacuated. */
  void evacuate(String name, FailureDomain... domains) {
    Instance instance = instances.get(new InstanceId(name));
    instance.scheduling.handle(new SchedulingMessage.EvacuationsChanged(Set.of(domains)), nowMs);
    instance.handle(new ForwardingMessage.EvacuationsChanged(Set.of(domains)));
  }

  void in(long delayMs, Runnable action) {
    events.add(new Event(nowMs + delayMs, nextEvent++, action));
  }

  private <M> boolean deliver(
      InstanceId from,
      PeerEnvelope<M> envelope,
      MessageCodec<M> codec,
      BiConsumer<Instance, PeerEnvelope<M>> receive) {
    Payload bytes = codec.encode(envelope.message());
    boolean cut =
        cutOff.contains(from)
            || cutOff.contains(envelope.peer())
            || cutLinks.contains(Set.of(from, envelope.peer()));
    if (!cut) {
      in(
          MESSAGE_DELAY_MS,
          () ->
              receive.accept(
                  instances.get(envelope.peer()),
                  new PeerEnvelope<>(from, codec.decode(bytes).orElseThrow())));
    }
    return true;
  }

  static TargetInfo info(TargetId target, long incarnation) {
    return new TargetInfo(
        target, incarnation, "service", "10.0.0.1:80", new FailureDomain("zone-a"));
  }

  /** Announces a run of a target to all instances. */
  void announce(TargetId target, long incarnation) {
    instances.values().forEach(instance -> instance.available(info(target, incarnation)));
  }

  /** Announces a run of a target and its warm-up to all instances. */
  void announce(TargetId target, long incarnation, AnnouncedWarmUp warmUp) {
    instances.values().forEach(instance -> instance.available(info(target, incarnation), warmUp));
  }

  /** Number that the next request gets. */
  long nextCall() {
    return nextCall++;
  }

  /** Lets a request arrive at an entry; returns its caller. */
  RecordingCaller arrive(int entry, ForwardCall call) {
    RecordingCaller caller = (RecordingCaller) call.port();
    callers.put(call.id(), caller);
    instances
        .get(new InstanceId("entry-" + entry))
        .handle(new ForwardingMessage.RequestArrived(call));
    return caller;
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
        tickIfDue(instance.handler);
        tickIfDue(instance.scheduling);
        tickIfDue(instance.resumption);
      }
    }
  }

  private void tickIfDue(DutyHandler<?> handler) {
    if (handler.nextTickMs() <= nowMs) {
      handler.tick(nowMs);
    }
  }
}
