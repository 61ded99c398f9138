package dev.caroblb.agreement;

import dev.caroblb.agreement.codec.MemberListCodec;
import dev.caroblb.agreement.journal.JournalEvent;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;

/** Replica at one slot of the cluster: its disk, its clock and, while it runs, its handler. */
final class SimulatedReplica {
  private static final double US_PER_MS = 1_000.0;

  private final InstanceId instance;
  private final List<InstanceId> slots;
  private final Random random;
  private final Outlet<PeerEnvelope<PeerMessage>> network;
  private final Map<GroupId, List<String>> histories;
  private final Map<GroupId, RecordingMachine> machines = new HashMap<>();
  private final Map<GroupId, LeaderLease> leases = new HashMap<>();
  private final List<ReplicaFault> faults = new ArrayList<>();
  private final double rate;
  private final long offsetUs;
  private boolean acceptsNewReplicas;
  private boolean firstStart;
  private int toleratedLosses;
  private SimulatedDisk disk;
  private Optional<AgreementHandler> handler = Optional.empty();
  private long syncDelayMs = 1;
  private long syncDueMs = Long.MAX_VALUE;

  SimulatedReplica(
      InstanceId instance,
      List<InstanceId> slots,
      double rate,
      Random random,
      Outlet<PeerEnvelope<PeerMessage>> network,
      Map<GroupId, List<String>> histories) {
    this.instance = instance;
    this.slots = slots;
    this.rate = rate;
    this.random = random;
    this.network = network;
    this.histories = histories;
    this.offsetUs = random.nextInt(1_000_000);
    this.disk = new SimulatedDisk(newIncarnation());
  }

  InstanceId instance() {
    return instance;
  }

  Member member() {
    return new Member(instance, disk.incarnation());
  }

  SimulatedDisk disk() {
    return disk;
  }

  boolean running() {
    return handler.isPresent();
  }

  RecordingMachine machine(GroupId group) {
    return machines.get(group);
  }

  List<ReplicaFault> faults() {
    return faults;
  }

  Optional<GroupStatus> status(GroupId group) {
    return handler.flatMap(
        running ->
            running.status().stream().filter(status -> status.group().equals(group)).findFirst());
  }

  boolean holdsLease(GroupId group, long trueUs) {
    return running() && leases.containsKey(group) && leases.get(group).heldAt(localMs(trueUs));
  }

  void delaySyncs(long delayMs) {
    syncDelayMs = delayMs;
  }

  void start(long trueUs) {
    if (running()) {
      return;
    }
    leases.clear();
    machines.clear();
    histories.forEach((group, history) -> machines.put(group, new RecordingMachine(history)));
    AgreementOutlets outlets = new AgreementOutlets(network, disk, this::recordLease, faults::add);
    handler =
        Optional.of(
            new AgreementHandler(
                settings(),
                new HashMap<>(machines),
                disk.recover(),
                outlets,
                new MemberListCodec(),
                random,
                localMs(trueUs)));
  }

  private AgreementSettings settings() {
    return acceptsNewReplicas
        ? AgreementSettings.withDynamicReplicas(member(), slots, firstStart, toleratedLosses)
        : new AgreementSettings(member(), slots);
  }

  /** Makes the next start use settings that list only some replicas. */
  void acceptNewReplicas(boolean isFirstStart, int tolerated) {
    acceptsNewReplicas = true;
    firstStart = isFirstStart;
    toleratedLosses = tolerated;
  }

  void crash() {
    handler = Optional.empty();
    disk.crash(random);
    syncDueMs = Long.MAX_VALUE;
  }

  /** Crashes the replica and replaces its data folder with a newly formatted one. */
  void loseDisk() {
    crash();
    disk = new SimulatedDisk(newIncarnation());
  }

  void handle(AgreementMessage message, long trueUs) {
    if (running()) {
      handler.get().handle(message, localMs(trueUs));
      handler.get().batchEnd(localMs(trueUs));
    }
  }

  /** Runs the disk sync and the handler tick if they are due. */
  void step(long trueUs) {
    if (!running()) {
      return;
    }
    if (disk.hasUnsynced() && disk.full()) {
      // The process ends when its disk refuses a write.
      crash();
      return;
    }
    long nowMs = localMs(trueUs);
    if (disk.hasUnsynced() && syncDueMs == Long.MAX_VALUE) {
      syncDueMs = nowMs + syncDelayMs;
    }
    if (nowMs >= syncDueMs) {
      syncDueMs = Long.MAX_VALUE;
      for (JournalEvent event : disk.sync()) {
        handle(new AgreementMessage.FromJournal(event), trueUs);
      }
    }
    if (handler.get().nextTickMs() <= nowMs) {
      handler.get().tick(nowMs);
    }
  }

  private boolean recordLease(LeaderLease lease) {
    leases.put(lease.group(), lease);
    return true;
  }

  private long localMs(long trueUs) {
    return (long) Math.floor((trueUs * rate + offsetUs) / US_PER_MS);
  }

  private String newIncarnation() {
    return String.format("%016x%016x", random.nextLong(), random.nextLong());
  }
}
