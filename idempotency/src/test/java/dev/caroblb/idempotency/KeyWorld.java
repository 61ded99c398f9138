package dev.caroblb.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
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

/** Instances, a log, a target and a lossy network that are driven by hand. */
final class KeyWorld {
  enum Net {
    GOOD,
    LOSSY,
    DUPLICATING,
    SLOW
  }

  private record InFlight(long dueMs, long order, int from, int to, Payload bytes) {}

  /** One call that a caller sent to one run of an entry. */
  private static final class Sent {
    final int key;
    final String body;
    boolean granted;
    boolean written;
    boolean ended;

    Sent(int key, String body) {
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
  private final Map<Attempt, Sent> calls = new HashMap<>();
  private final Map<Integer, Integer> runs = new HashMap<>();
  private final Map<Integer, StoredOutcome> outcomes = new HashMap<>();
  private final Set<StoredOutcome> told = new HashSet<>();
  private Net net = Net.GOOD;
  private int leader;
  private long term = 1;
  private long lastCall;
  private long order;

  KeyWorld(long seed) {
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

  void net(Net behaviour) {
    net = behaviour;
  }

  void call(int entry, int key, int variant, long allowedMs) {
    String body = "body-" + key + "-" + variant;
    KeyNode node = nodes.get(entry);
    lastCall++;
    calls.put(new Attempt(node.id, node.incarnation, lastCall), new Sent(key, body));
    node.begin(Calls.of(lastCall, Optional.of(Calls.key(key)), body, nowMs + allowedMs), nowMs);
  }

  /** Some of what the old leader appended survives; it learns of its end late or at once. */
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
    KeyNode dead = nodes.get(number);
    if (number == leader) {
      changeLeader((number + 1) % NODES);
    }
    KeyNode restarted =
        new KeyNode("r" + number, dead.incarnation + 1, ids, 5_000 + random.nextInt(9_000));
    nodes.set(number, restarted);
    KeyStateMachine restored = new KeyStateMachine(KeyLimits.DEFAULT);
    restored.restore(replicas.get(number).snapshot());
    replicas.set(number, restored);
    for (KeyNode node : nodes) {
      node.handle(new IdempotencyMessage.InstanceGone(dead.id, dead.incarnation), nowMs);
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
            .from(ids.get(message.from()), codec.decode(message.bytes()).orElseThrow(), nowMs);
      }
      commitProposals();
      for (KeyNode node : nodes) {
        node.streamsFull = random.nextInt(5) == 0;
        node.step(nowMs);
      }
      collect();
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
    assertEquals(1, results.size(), "replicas answered differently");
    Payload result = results.iterator().next();
    KeyResult decoded = format.decodeResult(result).orElseThrow();
    if (decoded instanceof KeyResult.Stored stored) {
      told.add(stored.outcome());
    }
    return result;
  }

  private void collect() {
    for (int from = 0; from < NODES; from++) {
      for (Addressed<KeyMessage> sent : nodes.get(from).sent) {
        int to = ids.indexOf(sent.peer());
        transmit(from, to, codec.encode(sent.message()));
      }
      nodes.get(from).sent.clear();
    }
  }

  private void transmit(int from, int to, Payload bytes) {
    int maxDelayMs = net == Net.SLOW ? 3_000 : 5;
    if (net == Net.LOSSY && random.nextInt(3) == 0) {
      return;
    }
    inFlight.add(new InFlight(nowMs + random.nextInt(maxDelayMs), order++, from, to, bytes));
    if (net == Net.DUPLICATING) {
      inFlight.add(new InFlight(nowMs + random.nextInt(9_000), order++, from, to, bytes));
    }
  }

  /** Plays streams and target: writes, fails to write, answers or loses the answer. */
  private void actOnDecisions(KeyNode node) {
    for (KeyDecision decision : node.decisions) {
      Attempt attempt = new Attempt(node.id, node.incarnation, decision.call());
      check(node, decision, calls.get(attempt));
    }
    node.decisions.clear();
  }

  private void check(KeyNode node, KeyDecision decision, Sent call) {
    if (decision instanceof KeyDecision.Granted) {
      assertFalse(call.granted || call.ended, "granted twice or after the end");
      call.granted = true;
      dispatch(node, decision.call(), call);
      return;
    }
    assertFalse(call.ended, "a second end was told");
    call.ended = true;
    if (decision instanceof KeyDecision.Stored stored) {
      assertEquals(outcomes.get(call.key), stored.outcome(), "another outcome was told");
    } else if (decision instanceof KeyDecision.Refused refused) {
      assertFalse(call.granted, "refused after it was granted");
      assertTrue(
          refused.refusal().reason().kind() != RefusalKind.NOT_RUN || !call.written,
          "told not run");
    } else if (decision instanceof KeyDecision.Released) {
      assertFalse(call.written, "released although it was written");
    }
  }

  private void dispatch(KeyNode node, long id, Sent call) {
    int fate = random.nextInt(8);
    if (fate == 0) {
      node.handle(new IdempotencyMessage.NothingSent(id), nowMs);
      return;
    }
    call.written = true;
    assertEquals(1, runs.merge(call.key, 1, Integer::sum), "the target saw a key twice");
    if (fate == 1) {
      call.ended = true;
      node.handle(new IdempotencyMessage.OutcomeLost(id), nowMs);
      return;
    }
    Payload body = Payload.ofText(call.body + "-" + random.nextLong());
    outcomes.put(call.key, StoredOutcome.of(200, "text/plain", body));
    node.handle(new IdempotencyMessage.Finished(id, outcomes.get(call.key)), nowMs);
  }

  /** After everything works again, every call has come to its end and the replicas agree. */
  void settle() {
    net = Net.GOOD;
    nodes.forEach(node -> node.lease(term, ids.get(leader), nowMs));
    advance(60_000);
    for (KeyNode node : nodes) {
      assertEquals(0, node.open(), "a call has no end");
    }
    for (Map.Entry<Attempt, Sent> call : calls.entrySet()) {
      KeyNode node = nodes.get(ids.indexOf(call.getKey().entry()));
      assertTrue(
          call.getValue().ended || node.incarnation != call.getKey().incarnation(),
          "a caller was told nothing");
    }
    Set<Set<RecordState>> tables = new HashSet<>();
    for (KeyStateMachine replica : replicas) {
      Set<RecordState> states = new HashSet<>();
      replica.table().forEach((hour, state) -> states.add(state));
      tables.add(states);
    }
    assertEquals(1, tables.size(), "replicas differ");
    assertTrue(outcomes.values().containsAll(told), "an outcome was changed");
  }
}
