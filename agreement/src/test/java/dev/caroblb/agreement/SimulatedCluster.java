package dev.caroblb.agreement;

import dev.caroblb.agreement.codec.PeerMessageCodec;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.BooleanSupplier;

/**
 * Simulation of several replicas in one thread, with network, disks and clocks under control of the
 * test. Checks the invariants after every step: at most one leader per term, at most one lease at a
 * time, no replica fault. {@link RecordingMachine} checks that all replicas apply the same
 * commands.
 */
final class SimulatedCluster {
  static final GroupId GROUP = GroupId.CONTROL;
  private static final long STEP_US = 1_000;

  private final Random random;
  private final OptionalInt toleratedLosses;
  private final Map<GroupId, List<String>> histories = new HashMap<>();
  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private final PriorityQueue<InFlightMessage> inFlight = new PriorityQueue<>();
  private final Set<Integer> disconnected = new HashSet<>();
  private final Set<Set<Integer>> linksDown = new HashSet<>();
  private final Map<String, InstanceId> leaders = new HashMap<>();
  private final Set<String> acknowledged = new HashSet<>();
  private final PeerMessageCodec codec = new PeerMessageCodec();
  private long trueUs;
  private long sent;
  private int lossPercent;
  private int duplicatePercent;
  private int maxDelayMs = 2;

  SimulatedCluster(int size, long seed, GroupId... groups) {
    this(size, seed, OptionalInt.empty(), groups);
  }

  /** Creates a cluster in which replicas that are not in the settings can join. */
  static SimulatedCluster withDynamicReplicas(int size, long seed) {
    return withDynamicReplicas(size, 1, seed);
  }

  /** Creates such a cluster, of which the given number of replicas may be lost at once. */
  static SimulatedCluster withDynamicReplicas(int size, int toleratedLosses, long seed) {
    return new SimulatedCluster(size, seed, OptionalInt.of(toleratedLosses));
  }

  private SimulatedCluster(int size, long seed, OptionalInt toleratedLosses, GroupId... groups) {
    random = new Random(seed);
    this.toleratedLosses = toleratedLosses;
    for (GroupId group : groups.length == 0 ? new GroupId[] {GROUP} : groups) {
      histories.put(group, new ArrayList<>());
    }
    List<InstanceId> slots = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      slots.add(new InstanceId("replica-" + i));
    }
    for (int i = 0; i < size; i++) {
      add(slots.get(i), slots, true);
    }
    replicas.forEach(replica -> replica.start(trueUs));
  }

  private void add(InstanceId instance, List<InstanceId> slots, boolean firstStart) {
    int from = replicas.size();
    // Rates differ by less than 1 percent, as ConsensusConstants.CLOCK_RATE_ERROR_PERCENT requires.
    double rate = 0.9951 + 0.0098 * random.nextDouble();
    SimulatedReplica replica =
        new SimulatedReplica(
            instance, slots, rate, random, message -> send(from, message), histories);
    toleratedLosses.ifPresent(tolerated -> replica.acceptNewReplicas(firstStart, tolerated));
    replicas.add(replica);
  }

  /**
   * Starts a replica at a new address, whose settings list the given contacts. Returns its index.
   */
  int join(List<Integer> contacts) {
    List<InstanceId> known = new ArrayList<>();
    contacts.forEach(index -> known.add(replicas.get(index).instance()));
    add(new InstanceId("replica-" + replicas.size()), known, false);
    replicas.get(replicas.size() - 1).start(trueUs);
    return replicas.size() - 1;
  }

  SimulatedReplica replica(int index) {
    return replicas.get(index);
  }

  List<SimulatedReplica> replicas() {
    return replicas;
  }

  Set<String> acknowledged() {
    return acknowledged;
  }

  void network(int loss, int duplicates, int delayMs) {
    lossPercent = loss;
    duplicatePercent = duplicates;
    maxDelayMs = delayMs;
  }

  /** Disconnects a replica from all others, or reconnects it. */
  void setDisconnected(int index, boolean disconnect) {
    if (disconnect) {
      disconnected.add(index);
    } else {
      disconnected.remove(index);
    }
  }

  /** Takes the link between two replicas down, or restores it. */
  void setLinkDown(int a, int b, boolean down) {
    if (down) {
      linksDown.add(link(a, b));
    } else {
      linksDown.remove(link(a, b));
    }
  }

  void crash(int index) {
    replicas.get(index).crash();
  }

  void start(int index) {
    replicas.get(index).start(trueUs);
  }

  /**
   * Proposes to every replica that considers itself the leader, as a proposer that still knows a
   * former leader would.
   */
  void propose(GroupId group, String command) {
    for (SimulatedReplica replica : replicas) {
      if (replica.status(group).filter(status -> status.role() == Role.LEADER).isPresent()) {
        proposeTo(replica, group, command + "@" + replica.instance());
      }
    }
  }

  void proposeTo(SimulatedReplica replica, GroupId group, String command) {
    replica.handle(
        new AgreementMessage.Propose(
            group, Payload.ofText(command), outcome -> recordOutcome(command, outcome)),
        trueUs);
  }

  void handle(SimulatedReplica replica, AgreementMessage message) {
    replica.handle(message, trueUs);
  }

  /** Delivers a message immediately, as if a replica had sent it. */
  void deliver(int to, InstanceId from, PeerMessage message) {
    replicas
        .get(to)
        .handle(new AgreementMessage.FromPeer(new PeerEnvelope<>(from, message)), trueUs);
  }

  void run(long durationMs) {
    long end = trueUs + durationMs * 1_000;
    while (trueUs < end) {
      step();
    }
  }

  /** Runs until the condition is true. Returns false if the time limit is reached before. */
  boolean runUntil(long limitMs, BooleanSupplier condition) {
    long end = trueUs + limitMs * 1_000;
    while (trueUs < end) {
      if (condition.getAsBoolean()) {
        return true;
      }
      step();
    }
    return condition.getAsBoolean();
  }

  /** Returns the replica that holds the lease of a group. */
  Optional<SimulatedReplica> leader(GroupId group) {
    return replicas.stream().filter(replica -> replica.holdsLease(group, trueUs)).findFirst();
  }

  /** Whether a lease is held, all slots are members, and all have applied the same commands. */
  boolean settled(GroupId group) {
    Optional<SimulatedReplica> leader = leader(group);
    if (leader.isEmpty()) {
      return false;
    }
    GroupStatus status = leader.get().status(group).orElseThrow();
    if (status.commitIndex() < status.lastIndex()) {
      return false;
    }
    for (SimulatedReplica replica : replicas) {
      Optional<GroupStatus> other = replica.status(group);
      if (other.isEmpty()
          || !status.members().contains(replica.member())
          || other.get().commitIndex() != status.commitIndex()) {
        return false;
      }
    }
    return status.members().size() == replicas.size();
  }

  private void step() {
    trueUs += STEP_US;
    while (!inFlight.isEmpty() && inFlight.peek().dueUs() <= trueUs) {
      arrive(inFlight.remove());
    }
    for (SimulatedReplica replica : replicas) {
      replica.step(trueUs);
    }
    checkInvariants();
  }

  private boolean send(int from, PeerEnvelope<PeerMessage> message) {
    int to = indexOf(message.peer());
    Payload bytes = codec.encode(message.message());
    int copies = random.nextInt(100) < duplicatePercent ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextInt(100) >= lossPercent) {
        long delayUs = 200L + random.nextInt(maxDelayMs * 1_000);
        inFlight.add(new InFlightMessage(trueUs + delayUs, sent++, from, to, bytes));
      }
    }
    return true;
  }

  private void arrive(InFlightMessage message) {
    if (disconnected.contains(message.from())
        || disconnected.contains(message.to())
        || linksDown.contains(link(message.from(), message.to()))) {
      return;
    }
    deliver(
        message.to(),
        replicas.get(message.from()).instance(),
        codec.decode(message.bytes()).orElseThrow());
  }

  private static Set<Integer> link(int a, int b) {
    return a == b ? Set.of(a) : Set.of(a, b);
  }

  private int indexOf(InstanceId instance) {
    for (int i = 0; i < replicas.size(); i++) {
      if (replicas.get(i).instance().equals(instance)) {
        return i;
      }
    }
    throw new AssertionError("message to unknown instance " + instance);
  }

  private boolean recordOutcome(String command, ProposalOutcome outcome) {
    if (outcome instanceof ProposalOutcome.Applied) {
      acknowledged.add(command);
    }
    return true;
  }

  private void checkInvariants() {
    for (GroupId group : histories.keySet()) {
      int holders = 0;
      for (SimulatedReplica replica : replicas) {
        holders += replica.holdsLease(group, trueUs) ? 1 : 0;
        checkLeader(group, replica);
      }
      if (holders > 1) {
        throw new AssertionError(holders + " leases of " + group + " held at " + trueUs + " us");
      }
    }
    for (SimulatedReplica replica : replicas) {
      if (!replica.faults().isEmpty()) {
        throw new AssertionError(replica.instance() + ": " + replica.faults());
      }
    }
  }

  private void checkLeader(GroupId group, SimulatedReplica replica) {
    Optional<GroupStatus> status = replica.status(group);
    if (status.isEmpty() || status.get().role() != Role.LEADER) {
      return;
    }
    String term = group + "/" + status.get().term();
    InstanceId known = leaders.putIfAbsent(term, replica.instance());
    if (known != null && !known.equals(replica.instance())) {
      throw new AssertionError(
          "term " + term + " is led by " + known + " and " + replica.instance());
    }
  }

  private record InFlightMessage(long dueUs, long order, int from, int to, Payload bytes)
      implements Comparable<InFlightMessage> {
    @Override
    public int compareTo(InFlightMessage other) {
      int byTime = Long.compare(dueUs, other.dueUs);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }
}
