package dev.caroblb.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Outlet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Simulation of the control group with the guarantees of its contract: one log, and at most one
 * leader with a valid lease at a time.
 */
final class SimulatedGroup {
  private static final long HEARTBEAT_MS = 150;
  private static final long ELECTION_MS = 1_000;

  /** Leader lease of 1,000 ms, shortened by the 1% bound on the drift between two clocks. */
  private static final long LEASE_MS = 990;

  private final Simulation simulation;
  private final List<ConfigurationCommand> log = new ArrayList<>();
  private final List<Proposal> pending = new ArrayList<>();
  private final Map<Long, String> digestByNumber = new HashMap<>();
  private Optional<SimulatedNode> leader = Optional.empty();
  private long term;
  private long lastRoundMs = -ELECTION_MS;

  SimulatedGroup(Simulation simulation) {
    this.simulation = simulation;
  }

  Optional<SimulatedNode> leader() {
    return leader;
  }

  boolean propose(SimulatedNode node, ConfigurationCommand command, Outlet<CommandOutcome> reply) {
    if (simulation.chance(5)) {
      return false;
    }
    pending.add(new Proposal(node, node.handler, command, reply));
    return true;
  }

  /** Removes the leader; another one is elected after its lease has expired. */
  void leaderLost() {
    leader = Optional.empty();
  }

  void step() {
    if (leader.filter(this::hasQuorum).isEmpty()) {
      electIfDue();
    } else if (simulation.timeMs - lastRoundMs >= HEARTBEAT_MS) {
      heartbeat();
    }
    finishProposals();
    catchUp();
  }

  private boolean hasQuorum(SimulatedNode node) {
    return !node.isolated && simulation.replicas().stream().filter(r -> !r.isolated).count() >= 2;
  }

  private void electIfDue() {
    if (simulation.timeMs - lastRoundMs < ELECTION_MS) {
      return;
    }
    List<SimulatedNode> candidates =
        simulation.replicas().stream().filter(this::hasQuorum).toList();
    if (candidates.isEmpty()) {
      return;
    }
    for (Proposal proposal : pending) {
      // Commands that the old leader appended can be committed by the new one.
      if (leader.filter(old -> old == proposal.node).isPresent() && simulation.chance(50)) {
        commit(proposal.command);
      }
      proposal.finish(new CommandOutcome.Unknown());
    }
    pending.clear();
    leader = Optional.of(candidates.get(simulation.random.nextInt(candidates.size())));
    term++;
    heartbeat();
  }

  private void heartbeat() {
    lastRoundMs = simulation.timeMs;
    SimulatedNode current = leader.orElseThrow();
    for (SimulatedNode node : simulation.replicas()) {
      boolean local = node == current;
      long untilMs = local ? node.nowMs() + LEASE_MS : 0;
      Optional<InstanceId> name = Optional.of(current.id);
      if (!node.isolated) {
        node.handle(
            new ConfigurationMessage.LeaseChanged(
                new LeaderLease(GroupId.CONTROL, term, name, local, untilMs)));
      }
    }
  }

  private void finishProposals() {
    for (Proposal proposal : List.copyOf(pending)) {
      if (leader.filter(node -> node == proposal.node).isEmpty()) {
        pending.remove(proposal);
        proposal.finish(new CommandOutcome.NotLeader(leader.map(node -> node.id)));
      } else if (hasQuorum(proposal.node) && simulation.chance(50)) {
        pending.remove(proposal);
        commit(proposal.command);
        proposal.finish(new CommandOutcome.Applied(applyAll(proposal.node).orElseThrow()));
      }
    }
  }

  private void commit(ConfigurationCommand command) {
    log.add(command);
  }

  /**
   * Applies committed commands on followers with a delay, so that a new leader often lacks commands
   * that its predecessor applied.
   */
  private void catchUp() {
    for (SimulatedNode node : simulation.replicas()) {
      if (!node.isolated && (!simulation.faulty || simulation.chance(1))) {
        applyAll(node);
      }
    }
  }

  /** Applies the rest of the log and returns the result of its last command. */
  private Optional<CommandResult> applyAll(SimulatedNode node) {
    Optional<CommandResult> last = Optional.empty();
    while (node.appliedCommands < log.size()) {
      ConfigurationState before = node.state;
      ConfigurationCommand command = log.get(node.appliedCommands);
      last = Optional.of(node.apply(command));
      if (node.state != before) {
        checkApplied((ConfigurationCommand.Accept) command, node.appliedCommands);
      }
    }
    return last;
  }

  /** Checks that each number has one content, applied by the same log entry on all replicas. */
  private void checkApplied(ConfigurationCommand.Accept command, int index) {
    String content = command.digest() + " by command " + index;
    String first = digestByNumber.putIfAbsent(command.number(), content);
    assertEquals(first == null ? content : first, content, "two contents under one number");
  }

  private record Proposal(
      SimulatedNode node,
      ConfigurationHandler handler,
      ConfigurationCommand command,
      Outlet<CommandOutcome> reply) {
    /** Reports the outcome, unless the process that made the proposal has been restarted. */
    void finish(CommandOutcome outcome) {
      if (node.handler == handler) {
        boolean unused = reply.offer(outcome);
      }
    }
  }
}
