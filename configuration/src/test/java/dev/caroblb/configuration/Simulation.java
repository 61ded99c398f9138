package dev.caroblb.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.PeerEnvelope;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Simulation of three replicas and three entries that exchange messages over a faulty network. */
final class Simulation {
  private static final long STEP_MS = 10;

  /** Clock rates, which differ by less than 1% from each other. */
  private static final double[] CLOCK_RATES = {1.0, 1.0045, 0.9955, 0.9955, 1.0, 1.0045};

  final Random random;
  final SimulatedGroup group = new SimulatedGroup(this);
  final List<SimulatedNode> nodes = new ArrayList<>();
  long timeMs = 10_000;
  long declaredInForce;
  boolean faulty = true;
  private final List<InFlight> network = new ArrayList<>();
  private final List<Publish> published = new ArrayList<>();
  private final Map<Long, String> acceptedDigests = new HashMap<>();

  Simulation(long seed) {
    this.random = new Random(seed);
    for (int i = 0; i < CLOCK_RATES.length; i++) {
      boolean replica = i < 3;
      String name = (replica ? "r" : "e") + i % 3;
      nodes.add(new SimulatedNode(this, name, replica, CLOCK_RATES[i]));
    }
  }

  List<SimulatedNode> replicas() {
    return nodes.subList(0, 3);
  }

  boolean chance(int percent) {
    return faulty ? random.nextInt(100) < percent : percent >= 20;
  }

  boolean send(SimulatedNode from, PeerEnvelope<PeerMessage> message) {
    observe(message.message());
    int copies = chance(5) ? 0 : chance(5) ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delayMs = faulty && chance(10) ? random.nextInt(6_000) : random.nextInt(20);
      network.add(new InFlight(from, message, timeMs + delayMs));
    }
    return true;
  }

  private void observe(PeerMessage message) {
    if (message instanceof PeerMessage.PublishReply) {
      PublishAnswer answer = ((PeerMessage.PublishReply) message).answer();
      if (answer.outcome() == PublishOutcome.IN_FORCE) {
        declaredInForce = Math.max(declaredInForce, answer.number());
        checkAdmission();
      }
    }
  }

  void advance(long ms) {
    for (long endMs = timeMs + ms; timeMs < endMs; timeMs += STEP_MS) {
      deliverDue();
      for (SimulatedNode node : nodes) {
        node.tickIfDue();
      }
      group.step();
      checkAdmission();
    }
  }

  private void deliverDue() {
    List<InFlight> due = network.stream().filter(m -> m.dueMs <= timeMs).toList();
    network.removeAll(due);
    for (InFlight message : due) {
      SimulatedNode recipient =
          nodes.stream().filter(n -> n.id.equals(message.sent.peer())).findFirst().orElseThrow();
      if (!message.from.isolated && !recipient.isolated) {
        recipient.handle(
            new ConfigurationMessage.PeerReceived(message.from.id, message.sent.message()));
      }
    }
  }

  /** Checks that no entry admits calls under a number older than one declared in force. */
  private void checkAdmission() {
    for (SimulatedNode node : nodes) {
      long number = node.view.snapshot().number();
      assertTrue(
          !node.admits() || number >= declaredInForce,
          () -> node.id + " admits under " + number + " after " + declaredInForce);
    }
  }

  /** Publishes a file under the current number plus {@code ahead}. */
  Publish publish(int node, int ahead, int content) {
    long current = nodes.stream().mapToLong(n -> n.state.number()).max().orElse(0);
    String team = "t" + content % 3;
    String text =
        "team = \""
            + team
            + "\"\n[[workspaces]]\nname = \"w"
            + content
            + "\"\ntoken_sha256 = \""
            + "0".repeat(64)
            + "\"\nshare = 1\nmax_concurrent = 1\n";
    PublishedFile file = new PublishedFile(team + ".toml", text);
    Publish publish =
        new Publish(Math.max(1, current + ahead), "request-" + published.size(), List.of(file));
    published.add(publish);
    submit(node, publish);
    return publish;
  }

  void resend(int node, int index) {
    if (!published.isEmpty()) {
      submit(node, published.get(index % published.size()));
    }
  }

  private void submit(int node, Publish publish) {
    nodes
        .get(node)
        .handle(
            new ConfigurationMessage.PublishRequested(
                publish,
                answer -> {
                  answered(publish, answer);
                  return true;
                }));
  }

  private void answered(Publish publish, PublishAnswer answer) {
    PublishOutcome outcome = answer.outcome();
    String digest = publish.digest();
    if (outcome == PublishOutcome.IN_FORCE) {
      declaredInForce = Math.max(declaredInForce, publish.number());
      checkAdmission();
    }
    if (outcome == PublishOutcome.IN_FORCE || outcome == PublishOutcome.ACCEPTED) {
      String winner = acceptedDigests.putIfAbsent(publish.number(), digest);
      assertEquals(winner == null ? digest : winner, digest, "two contents accepted");
    } else if (outcome != PublishOutcome.UNANSWERED) {
      assertTrue(
          !digest.equals(acceptedDigests.get(publish.number())),
          () -> "publish " + publish.number() + " was accepted before and is now " + outcome);
    }
  }

  /** Ends all faults and checks that a publish is then in force everywhere in time. */
  void settle() {
    faulty = false;
    nodes.forEach(node -> node.isolated = false);
    advance(20_000);
    Publish last = publish(5, 1, 7);
    advance(2_000);
    assertEquals(last.number(), declaredInForce, "not in force in time");
    for (SimulatedNode node : nodes) {
      assertTrue(node.admits(), () -> node.id + " has no lease");
      assertEquals(last.number(), node.view.snapshot().number());
    }
  }

  private record InFlight(SimulatedNode from, PeerEnvelope<PeerMessage> sent, long dueMs) {}
}
