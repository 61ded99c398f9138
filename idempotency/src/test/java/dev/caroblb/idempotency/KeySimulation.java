package dev.caroblb.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.RefusalKind;
import dev.caroblb.idempotency.codec.KeyCommandFormat;
import dev.caroblb.idempotency.codec.KeyMessageCodec;
import dev.caroblb.idempotency.codec.KeyStateMachine;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/** Deterministic simulation of instances, a replicated log, a target and a faulty network. */
final class KeySimulation {
  enum NetworkMode {
    GOOD,
    LOSSY,
    DUPLICATING,
    SLOW
  }

  private record InFlight(long dueMs, long order, int from, int to, Payload bytes) {}

  /** One call sent to one incarnation of an entry. */
  private static final class SentCall {
    final int key;
    final String body;
    boolean granted;
    boolean dispatched;
    boolean ended;

    SentCall(int key, String body) {
      this.key = key;
      this.body = body;
    }
  }

  static final int NODES = 3;
  private static final int STEP_MS = 10;

  long nowMs;
  private final Random random;
  private final List<InstanceId> ids = new ArrayList<>();
  private final List<KeyNode> nodes = new ArrayList<>();
  private final List<KeyStateMachine> replicas = new ArrayList<>();
  private final KeyMessageCodec codec = new KeyMessageCodec();
  private final KeyCommandFormat format = new KeyCommandFormat();
  private final PriorityQueue<InFlight> inFlight =
      new PriorityQueue<>(
          Comparator.comparingLong(InFlight::dueMs).thenComparingLong(InFlight::order));
  private final Map<Attempt, SentCall> calls = new HashMap<>();
  private final Map<Integer, Integer> executions = new HashMap<>();
  private final Map<Integer, StoredOutcome> outcomes = new HashMap<>();
  private final Set<StoredOutcome> reportedOutcomes = new HashSet<>();
  private NetworkMode networkMode = NetworkMode.GOOD;
  private int leader;
  private long term = 1;
  private long lastCall;
  private long order;

  KeySimulation(long seed) {
    random = new Random(seed);
    for (int i = 0; i < NODES; i++) {
      ids.add(new InstanceId("r" + i));
    }
    for (int i = 0; i < NODES; i++) {
      nodes.add(new KeyNode("r" + i, 1, ids, 1_000_000L * i));
      replicas.add(new KeyStateMachine(KeyLimits.DEFAULT));
    }
    nodes.forEach(node -> node.lease(term, ids.get(leader), nowMs));
  }

  void networkMode(NetworkMode mode) {
    networkMode = mode;
  }

  void call(int entry, int key, int variant, long timeoutMs) {
    String body = "body-" + key + "-" + variant;
    KeyNode node = nodes.get(entry);
    lastCall++;
    calls.put(new Attempt(node.id, node.incarnation, lastCall), new SentCall(key, body));
    node.begin(Calls.of(lastCall, Optional.of(Calls.key(key)), body, nowMs + timeoutMs), nowMs);
  }

  /**
   * Commits a random part of the old leader's proposals. Each node learns of the change now or
   * later.
   */
  void changeLeader(int next) {
    KeyNode old = nodes.get(leader);
    for (KeyNode.Proposal proposal : old.proposals) {
      if (random.nextBoolean()) {
        commit(proposal.command());
      }
      proposal.reply().offer(new ProposalOutcome.Unknown());
    }
    old.proposals.clear();
    term++;
    leader = next;
    for (KeyNode node : nodes) {
      if (random.nextInt(3) > 0) {
        node.lease(term, ids.get(next), nowMs);
      }
    }
  }

  void crash(int number) {
    KeyNode crashed = nodes.get(number);
    if (number == leader) {
      changeLeader((number + 1) % NODES);
    }
    KeyNode restarted =
        new KeyNode("r" + number, crashed.incarnation + 1, ids, 5_000 + random.nextInt(9_000));
    nodes.set(number, restarted);
    KeyStateMachine restored = new KeyStateMachine(KeyLimits.DEFAULT);
    restored.restore(replicas.get(number).snapshot());
    replicas.set(number, restored);
    for (KeyNode node : nodes) {
      node.handle(new IdempotencyMessage.InstanceGone(crashed.id, crashed.incarnation), nowMs);
      node.lease(term, ids.get(leader), nowMs);
    }
  }

  void advance(long ms) {
    for (long end = nowMs + ms; nowMs < end; ) {
      nowMs += STEP_MS;
      while (!inFlight.isEmpty() && inFlight.peek().dueMs() <= nowMs) {
        InFlight message = inFlight.poll();
        nodes
            .get(message.to())
            .receive(ids.get(message.from()), codec.decode(message.bytes()).orElseThrow(), nowMs);
      }
      commitProposals();
      for (KeyNode node : nodes) {
        node.streamsFull = random.nextInt(5) == 0;
        node.step(nowMs);
      }
      transmitSent();
      nodes.forEach(this::actOnDecisions);
    }
  }

  private void commitProposals() {
    for (int i = 0; i < NODES; i++) {
      for (KeyNode.Proposal proposal : List.copyOf(nodes.get(i).proposals)) {
        if (i != leader) {
          proposal.reply().offer(new ProposalOutcome.NotLeader(Optional.empty()));
        } else {
          proposal.reply().offer(new ProposalOutcome.Applied(commit(proposal.command())));
        }
        nodes.get(i).proposals.remove(proposal);
      }
    }
  }

  private Payload commit(Payload command) {
    Set<Payload> results = new HashSet<>();
    replicas.forEach(replica -> results.add(replica.apply(command)));
    assertEquals(1, results.size(), "replicas returned different results");
    Payload result = results.iterator().next();
    KeyResult decoded = format.decodeResult(result).orElseThrow();
    if (decoded instanceof KeyResult.Stored stored) {
      reportedOutcomes.add(stored.outcome());
    }
    return result;
  }

  private void transmitSent() {
    for (int from = 0; from < NODES; from++) {
      for (PeerEnvelope<KeyMessage> sent : nodes.get(from).sent) {
        int to = ids.indexOf(sent.peer());
        transmit(from, to, codec.encode(sent.message()));
      }
      nodes.get(from).sent.clear();
    }
  }

  private void transmit(int from, int to, Payload bytes) {
    int maxDelayMs = networkMode == NetworkMode.SLOW ? 3_000 : 5;
    if (networkMode == NetworkMode.LOSSY && random.nextInt(3) == 0) {
      return;
    }
    inFlight.add(new InFlight(nowMs + random.nextInt(maxDelayMs), order++, from, to, bytes));
    if (networkMode == NetworkMode.DUPLICATING) {
      inFlight.add(new InFlight(nowMs + random.nextInt(9_000), order++, from, to, bytes));
    }
  }

  /**
   * Acts as the streams duty and the target: the call is written or not, and its response arrives
   * or is lost.
   */
  private void actOnDecisions(KeyNode node) {
    for (KeyDecision decision : node.decisions) {
      Attempt attempt = new Attempt(node.id, node.incarnation, decision.call());
      applyDecision(node, decision, calls.get(attempt));
    }
    node.decisions.clear();
  }

  private void applyDecision(KeyNode node, KeyDecision decision, SentCall call) {
    if (decision instanceof KeyDecision.Granted) {
      assertFalse(call.granted || call.ended, "granted twice or after the end");
      call.granted = true;
      dispatch(node, decision.call(), call);
      return;
    }
    assertFalse(call.ended, "a second end was reported");
    call.ended = true;
    if (decision instanceof KeyDecision.Stored stored) {
      assertEquals(outcomes.get(call.key), stored.outcome(), "a different outcome was reported");
    } else if (decision instanceof KeyDecision.Refused refused) {
      assertFalse(call.granted, "refused after it was granted");
      assertTrue(
          refused.refusal().reason().kind() != RefusalKind.NOT_RUN || !call.dispatched,
          "reported as not run although it was dispatched");
    } else if (decision instanceof KeyDecision.Released) {
      assertFalse(call.dispatched, "released although it was dispatched");
    }
  }

  private void dispatch(KeyNode node, long id, SentCall call) {
    int choice = random.nextInt(8);
    if (choice == 0) {
      node.handle(new IdempotencyMessage.NothingSent(id), nowMs);
      return;
    }
    call.dispatched = true;
    assertEquals(1, executions.merge(call.key, 1, Integer::sum), "a key was dispatched twice");
    if (choice == 1) {
      call.ended = true;
      node.handle(new IdempotencyMessage.OutcomeLost(id), nowMs);
      return;
    }
    Payload body = Payload.ofText(call.body + "-" + random.nextLong());
    outcomes.put(call.key, StoredOutcome.of(200, "text/plain", body));
    node.handle(new IdempotencyMessage.Finished(id, outcomes.get(call.key)), nowMs);
  }

  /** Checks that after all faults end every call is finished and the replicas agree. */
  void settle() {
    networkMode = NetworkMode.GOOD;
    nodes.forEach(node -> node.lease(term, ids.get(leader), nowMs));
    advance(60_000);
    for (KeyNode node : nodes) {
      assertEquals(0, node.openCalls(), "a call did not end");
    }
    for (Map.Entry<Attempt, SentCall> call : calls.entrySet()) {
      KeyNode node = nodes.get(ids.indexOf(call.getKey().entry()));
      assertTrue(
          call.getValue().ended || node.incarnation != call.getKey().incarnation(),
          "a caller got no answer");
    }
    Set<Set<RecordState>> tables = new HashSet<>();
    for (KeyStateMachine replica : replicas) {
      Set<RecordState> states = new HashSet<>();
      replica.table().forEach((hour, state) -> states.add(state));
      tables.add(states);
    }
    assertEquals(1, tables.size(), "replicas differ");
    assertTrue(outcomes.values().containsAll(reportedOutcomes), "a stored outcome changed");
  }
}
