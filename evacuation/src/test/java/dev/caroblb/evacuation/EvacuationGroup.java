package dev.caroblb.evacuation;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.StateMachine;
import dev.caroblb.evacuation.codec.EvacuationStateMachine;
import dev.caroblb.evacuation.codec.GroupCommandProposer;
import dev.caroblb.evacuation.codec.PeerMessageCodec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Three control instances with a replicated log, and two entries, joined in memory. */
final class EvacuationGroup {
  static final FailureDomain A = new FailureDomain("zone-a");
  static final FailureDomain B = new FailureDomain("zone-b");
  static final List<String> CONTROLS = List.of("control-0", "control-1", "control-2");
  static final List<String> ALL =
      List.of("control-0", "control-1", "control-2", "entry-0", "entry-1");
  private static final long STEP_MS = 100;

  private record Proposal(Node from, Payload command, Outlet<ProposalOutcome> reply) {}

  /** One instance. */
  final class Node {
    final InstanceId id;
    final List<Long> revisions = new ArrayList<>();
    private final Deque<EvacuationMessage> queue = new ArrayDeque<>();
    private final StateMachine machine = new EvacuationStateMachine(queue::add);
    private final EvacuationHandler handler;
    Set<FailureDomain> inForce = Set.of();
    boolean statesRejected;

    Node(String name) {
      id = new InstanceId(name);
      handler =
          new EvacuationHandler(
              new GroupCommandProposer(
                  (group, command, reply) -> proposals.add(new Proposal(this, command, reply))),
              new EvacuationOutlets(message -> send(id, message), this::installed, queue::add));
    }

    private boolean installed(EvacuationState state) {
      if (statesRejected) {
        return false;
      }
      inForce = state.domains();
      return revisions.add(state.revision());
    }

    void handle(EvacuationMessage message) {
      handler.handle(message, nowMs);
    }

    private void drainQueue() {
      while (!queue.isEmpty()) {
        handle(queue.poll());
      }
      handler.batchEnd(nowMs);
    }
  }

  final Map<String, Node> nodes = new LinkedHashMap<>();
  final List<OrderOutcome> replies = new ArrayList<>();
  final Set<String> cutOff = new HashSet<>();
  private final List<Payload> log = new ArrayList<>();
  private final List<Proposal> proposals = new ArrayList<>();
  private final PeerMessageCodec codec = new PeerMessageCodec();
  private long nowMs;

  EvacuationGroup() {
    ALL.forEach(this::start);
    lead("control-0");
  }

  private void start(String name) {
    nodes.put(name, new Node(name));
    introduce();
  }

  private void introduce() {
    for (Node node : List.copyOf(nodes.values())) {
      Set<InstanceId> peers = new HashSet<>();
      nodes.keySet().forEach(name -> peers.add(new InstanceId(name)));
      peers.remove(node.id);
      Set<InstanceId> contacts = new HashSet<>(peers);
      contacts.removeIf(peer -> !CONTROLS.contains(peer.name()));
      node.handle(new EvacuationMessage.PeersChanged(peers, contacts));
    }
  }

  Node node(String name) {
    return nodes.get(name);
  }

  void lead(String name) {
    for (String control : CONTROLS) {
      if (nodes.containsKey(control)) {
        node(control)
            .handle(
                new EvacuationMessage.LeaseChanged(
                    new LeaderLease(
                        GroupId.CONTROL,
                        1,
                        Optional.of(new InstanceId(name)),
                        control.equals(name),
                        0)));
      }
    }
  }

  void order(String name, EvacuationCommand command) {
    node(name).handle(new EvacuationMessage.Order(command, replies::add));
  }

  OrderOutcome lastReply() {
    return replies.get(replies.size() - 1);
  }

  /** Commits what was proposed and applies it at all replicas that run. */
  void commit() {
    for (Proposal proposal : List.copyOf(proposals)) {
      log.add(proposal.command());
      for (String control : CONTROLS) {
        if (nodes.containsKey(control)) {
          Payload result = node(control).machine.apply(proposal.command());
          if (node(control) == proposal.from()) {
            proposal.reply().offer(new ProposalOutcome.Applied(result));
          }
        }
      }
    }
    proposals.clear();
    nodes.values().forEach(Node::drainQueue);
  }

  void kill(String name) {
    nodes.remove(name);
  }

  /** Loses what a leader has proposed and not committed. */
  void loseProposals() {
    proposals.clear();
  }

  /** Replaces an instance by one that has only the journal of the group. */
  void restartFromJournal(String name) {
    start(name);
    log.forEach(node(name).machine::apply);
    node(name).drainQueue();
  }

  /** Replaces all instances; the control instances have their snapshots, the entries nothing. */
  void restartAllFromSnapshots() {
    Map<String, Payload> snapshots = new LinkedHashMap<>();
    CONTROLS.forEach(control -> snapshots.put(control, node(control).machine.snapshot()));
    nodes.clear();
    ALL.forEach(this::start);
    snapshots.forEach((control, snapshot) -> node(control).machine.restore(snapshot));
    nodes.values().forEach(Node::drainQueue);
  }

  private boolean send(InstanceId from, PeerEnvelope<PeerMessage> message) {
    Node to = nodes.get(message.peer().name());
    if (to != null && !cutOff.contains(from.name()) && !cutOff.contains(to.id.name())) {
      PeerMessage received = codec.decode(codec.encode(message.message())).orElseThrow();
      to.queue.add(new EvacuationMessage.FromPeer(new PeerEnvelope<>(from, received)));
    }
    return true;
  }

  void advance(long ms) {
    for (long untilMs = nowMs + ms; nowMs < untilMs; ) {
      nowMs += STEP_MS;
      for (Node node : List.copyOf(nodes.values())) {
        node.drainQueue();
        if (node.handler.nextTickMs() <= nowMs) {
          node.handler.tick(nowMs);
        }
      }
    }
  }

  /** Whether all running instances have exactly these domains in force. */
  boolean allHave(FailureDomain... domains) {
    return nodes.values().stream().allMatch(node -> node.inForce.equals(Set.of(domains)));
  }
}
