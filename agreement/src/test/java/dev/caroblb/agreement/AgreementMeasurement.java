package dev.caroblb.agreement;

import dev.caroblb.agreement.codec.MemberListCodec;
import dev.caroblb.agreement.codec.PeerMessageCodec;
import dev.caroblb.agreement.journal.JournalEvent;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.StateMachine;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Benchmark of three replicas in one thread, with message encoding but without network and disk.
 * Measures commits per second, and bytes and CPU time per proposal and per heartbeat. The CPU time
 * is the sum for all three replicas.
 */
public final class AgreementMeasurement {
  private static final GroupId GROUP = GroupId.CONTROL;
  private static final int REPLICAS = 3;
  private static final int HEARTBEATS = 100_000;
  private static final long HEARTBEAT_INTERVAL_MS = 150;
  private static final long ROUND_BYTES = 256L << 20;
  private static final int MAX_PROPOSALS = 200_000;

  private final PeerMessageCodec codec = new PeerMessageCodec();
  private final List<AgreementHandler> handlers = new ArrayList<>();
  private final List<SimulatedDisk> disks = new ArrayList<>();
  private final List<InstanceId> slots = new ArrayList<>();
  private final Deque<Frame> frames = new ArrayDeque<>();
  private long nowMs;
  private long bytes;
  private long messages;
  private long applied;

  private AgreementMeasurement() {
    for (int i = 0; i < REPLICAS; i++) {
      slots.add(new InstanceId("replica-" + i));
    }
    for (int i = 0; i < REPLICAS; i++) {
      addReplica(slots.get(i), String.format("%032x", i));
    }
  }

  /**
   * Prints one line for heartbeats, and one for each combination of proposal size and batch size.
   * Does so twice; the first round warms up the virtual machine.
   */
  public static void main(String[] args) {
    for (int warmUp = 0; warmUp < 2; warmUp++) {
      AgreementMeasurement measurement = new AgreementMeasurement();
      measurement.elect();
      measurement.heartbeats();
      for (int size : new int[] {64, 1_024, 16_384}) {
        measurement.proposals(size, 1);
        measurement.proposals(size, 64);
      }
    }
  }

  private void addReplica(InstanceId self, String incarnation) {
    SimulatedDisk disk = new SimulatedDisk(incarnation);
    disks.add(disk);
    handlers.add(
        new AgreementHandler(
            new AgreementSettings(new Member(self, incarnation), slots),
            Map.of(GROUP, new CountingMachine()),
            Map.of(),
            new AgreementOutlets(
                message -> send(self, message), disk, lease -> true, fault -> true),
            new MemberListCodec(),
            new Random(slots.indexOf(self)),
            0));
  }

  private boolean send(InstanceId from, PeerEnvelope<PeerMessage> message) {
    Payload encoded = codec.encode(message.message());
    bytes += encoded.size();
    messages++;
    return frames.add(new Frame(from, slots.indexOf(message.peer()), encoded));
  }

  private void elect() {
    while (leader().isEmpty()) {
      advance(1);
    }
  }

  private List<AgreementHandler> leader() {
    return handlers.stream()
        .filter(handler -> handler.status().get(0).role() == Role.LEADER)
        .filter(handler -> handler.status().get(0).commitIndex() > 0)
        .toList();
  }

  private void advance(long deltaMs) {
    nowMs += deltaMs;
    for (AgreementHandler handler : handlers) {
      if (handler.nextTickMs() <= nowMs) {
        handler.tick(nowMs);
      }
    }
    pump();
  }

  private void pump() {
    boolean busy = true;
    while (busy) {
      busy = !frames.isEmpty();
      while (!frames.isEmpty()) {
        Frame frame = frames.remove();
        PeerMessage message = codec.decode(frame.bytes()).orElseThrow();
        handle(
            frame.to(), new AgreementMessage.FromPeer(new PeerEnvelope<>(frame.from(), message)));
      }
      for (int i = 0; i < REPLICAS; i++) {
        for (JournalEvent event : disks.get(i).sync()) {
          handle(i, new AgreementMessage.FromJournal(event));
          busy = true;
        }
      }
    }
  }

  private void handle(int replica, AgreementMessage message) {
    handlers.get(replica).handle(message, nowMs);
    handlers.get(replica).batchEnd(nowMs);
  }

  private void heartbeats() {
    bytes = 0;
    messages = 0;
    long cpu = cpuNs();
    for (int i = 0; i < HEARTBEATS; i++) {
      advance(HEARTBEAT_INTERVAL_MS);
    }
    System.out.printf(
        "heartbeat round: messages=%.2f bytes=%.1f cpu_us=%.2f%n",
        (double) messages / HEARTBEATS,
        (double) bytes / HEARTBEATS,
        (cpuNs() - cpu) / 1e3 / HEARTBEATS);
  }

  private void proposals(int size, int batch) {
    int count = (int) Math.min(MAX_PROPOSALS, ROUND_BYTES / size) / batch * batch;
    AgreementHandler leader = leader().get(0);
    Payload command = Payload.copyOf(new byte[size]);
    bytes = 0;
    applied = 0;
    long cpu = cpuNs();
    long start = System.nanoTime();
    for (int i = 0; i < count; i += batch) {
      for (int j = 0; j < batch; j++) {
        leader.handle(new AgreementMessage.Propose(GROUP, command, this::countOutcome), nowMs);
      }
      leader.batchEnd(nowMs);
      pump();
    }
    double seconds = (System.nanoTime() - start) / 1e9;
    System.out.printf(
        "proposal size=%d batch=%d: committed=%d of %d per_second=%.0f bytes=%.1f cpu_us=%.2f%n",
        size,
        batch,
        applied,
        count,
        applied / seconds,
        (double) bytes / count,
        (cpuNs() - cpu) / 1e3 / count);
  }

  private boolean countOutcome(ProposalOutcome outcome) {
    applied += outcome instanceof ProposalOutcome.Applied ? 1 : 0;
    return true;
  }

  private static long cpuNs() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private record Frame(InstanceId from, int to, Payload bytes) {}

  private static final class CountingMachine implements StateMachine {
    private long count;

    @Override
    public Payload apply(Payload command) {
      count++;
      return Payload.empty();
    }

    @Override
    public Payload snapshot() {
      return Payload.ofText(Long.toString(count));
    }

    @Override
    public void restore(Payload snapshot) {
      count = Long.parseLong(snapshot.text());
    }
  }
}
