package dev.caroblb.membership;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.membership.codec.MembershipCodec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Simulated cluster of nodes, connected by links whose faults are set by the test. */
final class Cluster {
  enum Link {
    GOOD,
    DROPS,
    STALLS,
    DUPLICATES,
    REORDERS
  }

  private record InFlight(long dueMs, long order, int from, int to, Payload bytes) {}

  private static final int STEP_MS = 10;
  private static final double[] CLOCK_RATES = {1.0, 0.99, 1.01, 1.0};

  final List<Node> nodes = new ArrayList<>();
  final Map<Integer, PeerMessage.Digest> lastDigests = new HashMap<>();
  long nowMs;

  private final MembershipCodec codec = new MembershipCodec();
  private final PriorityQueue<InFlight> inFlight =
      new PriorityQueue<>(
          Comparator.comparingLong(InFlight::dueMs).thenComparingLong(InFlight::order));
  private final List<InFlight> stalled = new ArrayList<>();
  private final Map<Integer, Link> links = new HashMap<>();
  private final Random random;
  private long order;

  Cluster(int size, long seed) {
    random = new Random(seed);
    List<InstanceId> ids = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      ids.add(new InstanceId("i" + i));
    }
    for (int i = 0; i < size; i++) {
      Set<InstanceId> peers = new HashSet<>(ids);
      peers.remove(ids.get(i));
      nodes.add(new Node("i" + i, peers, 1_000_000L * i, CLOCK_RATES[i % CLOCK_RATES.length]));
    }
  }

  void link(int from, int to, Link behaviour) {
    links.put(from * nodes.size() + to, behaviour);
    if (behaviour == Link.STALLS) {
      return;
    }
    for (InFlight message : List.copyOf(stalled)) {
      if (message.from() == from && message.to() == to) {
        stalled.remove(message);
        inFlight.add(new InFlight(nowMs, order++, from, to, message.bytes()));
      }
    }
  }

  void allLinks(Link behaviour) {
    for (int from = 0; from < nodes.size(); from++) {
      for (int to = 0; to < nodes.size(); to++) {
        link(from, to, behaviour);
      }
    }
  }

  void advance(long ms) {
    advance(ms, this::collect);
  }

  /** Advances the time in steps and runs {@code everyStep} after each step. */
  void advance(long ms, Runnable everyStep) {
    for (long end = nowMs + ms; nowMs < end; ) {
      nowMs += STEP_MS;
      while (!inFlight.isEmpty() && inFlight.peek().dueMs() <= nowMs) {
        deliver(inFlight.poll());
      }
      nodes.forEach(node -> node.tickIfDue(nowMs));
      collect();
      everyStep.run();
    }
  }

  private void deliver(InFlight message) {
    InstanceId from = nodes.get(message.from()).id;
    nodes.get(message.to()).receive(from, codec.decode(message.bytes()).orElseThrow(), nowMs);
  }

  void collect() {
    for (int from = 0; from < nodes.size(); from++) {
      for (PeerEnvelope<PeerMessage> sent : nodes.get(from).sent) {
        if (sent.message() instanceof PeerMessage.Digest digest) {
          lastDigests.put(from, digest);
        }
        int to = Integer.parseInt(sent.peer().name().substring(1));
        send(from, to, codec.encode(sent.message()));
      }
      nodes.get(from).sent.clear();
    }
  }

  private void send(int from, int to, Payload bytes) {
    switch (links.getOrDefault(from * nodes.size() + to, Link.GOOD)) {
      case GOOD -> enqueue(from, to, bytes, 5);
      case DROPS -> {}
      case STALLS -> stalled.add(new InFlight(0, order++, from, to, bytes));
      case DUPLICATES -> {
        enqueue(from, to, bytes, 5);
        enqueue(from, to, bytes, 5_000);
      }
      case REORDERS -> enqueue(from, to, bytes, 2_000);
    }
  }

  private void enqueue(int from, int to, Payload bytes, int maxDelayMs) {
    long dueMs = nowMs + 1 + random.nextInt(maxDelayMs);
    inFlight.add(new InFlight(dueMs, order++, from, to, bytes));
  }
}
