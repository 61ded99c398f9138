package dev.caroblb.membership;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.membership.codec.MembershipCodec;
import java.lang.management.ManagementFactory;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;

/**
 * Measures the size and CPU time of each kind of message. Started manually, not part of the test
 * run.
 */
public final class MembershipMeasurement {
  private static final int[] TARGETS = {12, 200, 1_000};
  private static final int[] INSTANCES = {9, 50, 200};
  private static final int SECONDS = 30;
  private static final InstanceId PEER = new InstanceId("entry-1");

  private final MembershipCodec codec = new MembershipCodec();
  private final int targets;
  private final int instances;
  private final MembershipHandler handler;
  private final Cost heartbeats = new Cost();
  private final Cost announced = new Cost();
  private final Cost forwarded = new Cost();
  private final Cost digests = new Cost();
  private final Cost ticks = new Cost();
  private long sentBytes;
  private long nowMs;

  private static final class Cost {
    private long count;
    private long ns;
    private int bytes;

    void add(long spentNs) {
      count++;
      ns += spentNs;
    }

    double microseconds() {
      return ns / 1e3 / Math.max(1, count);
    }
  }

  private MembershipMeasurement(int targets, int instances) {
    this.targets = targets;
    this.instances = instances;
    Set<InstanceId> peers = new HashSet<>();
    for (int i = 1; i < instances; i++) {
      peers.add(new InstanceId("entry-" + i));
    }
    handler =
        new MembershipHandler(
            new LocalInstance(new InstanceId("entry-0"), 1, new FailureDomain("d1"), "10.0.0.1:80"),
            new FixedTopology(peers),
            MembershipHandler.DEFAULT_DRAIN_LIMIT_MS,
            new AllTargets(),
            new MembershipOutlets(this::send, c -> true, v -> true, s -> true));
  }

  /** Runs each size twice; the first round is for warm-up. */
  public static void main(String[] args) {
    for (int round = 0; round < 2; round++) {
      for (int targets : TARGETS) {
        for (int instances : INSTANCES) {
          new MembershipMeasurement(targets, instances).run(round);
        }
      }
    }
  }

  private boolean send(PeerEnvelope<PeerMessage> message) {
    sentBytes += codec.encode(message.message()).size();
    return true;
  }

  private void run(int round) {
    for (int second = 1; second <= SECONDS; second++) {
      nowMs = second * 1_000L;
      for (int i = 1; i < instances; i++) {
        receive(heartbeats, new InstanceId("entry-" + i), heartbeat(second));
      }
      for (int target = 0; target < targets; target++) {
        Announcement announcement = announcement(target, second);
        if (target % instances == 0) {
          measure(announced, new MembershipMessage.Announced(announcement));
        } else {
          receive(forwarded, PEER, records(announcement));
        }
      }
      int received = Math.max(1, PeerSender.MAX_SUMMARIES_PER_ROUND / targets);
      for (int i = 0; i < Math.min(received, PeerSender.MAX_DIGEST_PEERS); i++) {
        receive(digests, PEER, digest(second));
      }
      for (int i = 0; i < 10; i++) {
        nowMs += 100;
        long start = cpuNs();
        handler.tick(nowMs);
        ticks.add(cpuNs() - start);
      }
    }
    print(round);
  }

  private void print(int round) {
    long ns = 2 * heartbeats.ns + announced.ns + forwarded.ns + digests.ns + ticks.ns;
    System.out.printf(
        "round=%d targets=%d instances=%d bytes[heartbeat=%d announcement=%d digest=%d]"
            + " cpu_us[heartbeat=%.1f announced_here=%.1f forwarded=%.1f digest=%.1f tick=%.1f]"
            + " sent_kb_per_s=%.1f cpu_ms_per_s=%.2f%n",
        round,
        targets,
        instances,
        heartbeats.bytes,
        forwarded.bytes,
        digests.bytes,
        heartbeats.microseconds(),
        announced.microseconds(),
        forwarded.microseconds(),
        digests.microseconds(),
        ticks.microseconds(),
        sentBytes / 1e3 / SECONDS,
        ns / 1e6 / SECONDS);
  }

  private void receive(Cost cost, InstanceId peer, PeerMessage message) {
    Payload bytes = codec.encode(message);
    cost.bytes = bytes.size();
    long start = cpuNs();
    PeerMessage decoded = codec.decode(bytes).orElseThrow();
    handler.handle(new MembershipMessage.FromPeer(new PeerEnvelope<>(peer, decoded)), nowMs);
    cost.add(cpuNs() - start);
  }

  private void measure(Cost cost, MembershipMessage message) {
    long start = cpuNs();
    handler.handle(message, nowMs);
    cost.add(cpuNs() - start);
  }

  private static long cpuNs() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private PeerMessage heartbeat(int second) {
    return new PeerMessage.Heartbeat(
        1,
        second,
        InstanceState.READY,
        25_000,
        new FailureDomain("d1"),
        "10.0.0.1:8080",
        nowMs,
        List.of());
  }

  private PeerMessage records(Announcement announcement) {
    Echo echo = new Echo(1, nowMs - 100, 99);
    return new PeerMessage.Records(
        Optional.of(echo), List.of(new AgedAnnouncement(announcement, 1)));
  }

  private static Announcement announcement(int target, int second) {
    return Announcements.of(new TargetId("engine-" + target), 1_800_000_000_000L, second, false);
  }

  private PeerMessage digest(int second) {
    return new PeerMessage.Digest(
        IntStream.range(0, Math.min(targets, PeerSender.MAX_SUMMARIES_PER_ROUND))
            .mapToObj(target -> announcement(target, second).summary())
            .toList());
  }
}
