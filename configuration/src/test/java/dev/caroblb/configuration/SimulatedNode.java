package dev.caroblb.configuration;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import java.util.List;

/** Simulated instance with its own clock rate. A restart keeps only the replicated state. */
final class SimulatedNode {
  final InstanceId id;
  final boolean replica;
  private final Simulation simulation;
  private final double clockRate;
  private int restarts;
  ConfigurationHandler handler;
  ConfigurationState state = ConfigurationState.empty();
  EntryView view;
  int appliedCommands;
  boolean isolated;
  int viewsToRefuse;
  int statesToDrop;

  SimulatedNode(Simulation simulation, String name, boolean replica, double clockRate) {
    this.simulation = simulation;
    this.id = new InstanceId(name);
    this.replica = replica;
    this.clockRate = clockRate;
    start();
  }

  long nowMs() {
    return (long) (simulation.timeMs * clockRate);
  }

  boolean admits() {
    return view.admitsAt(nowMs());
  }

  void restart() {
    restarts++;
    start();
  }

  private void start() {
    view = new EntryView(ConfigurationSnapshot.empty(), Long.MIN_VALUE);
    ConfigurationOutlets outlets =
        new ConfigurationOutlets(
            message -> simulation.send(this, message), this::acceptView, this::acceptOwnMessage);
    handler =
        new ConfigurationHandler(
            id,
            id + "-" + restarts,
            List.of(new InstanceId("r0"), new InstanceId("r1"), new InstanceId("r2")),
            outlets,
            (command, reply) -> simulation.group.propose(this, command, reply),
            new ConfigurationCounters(),
            1);
    handle(new ConfigurationMessage.StateApplied(state));
  }

  private boolean acceptOwnMessage(ConfigurationMessage message) {
    handle(message);
    return true;
  }

  private boolean acceptView(EntryView next) {
    if (viewsToRefuse > 0) {
      viewsToRefuse--;
      return false;
    }
    assertTrue(
        next.snapshot().number() >= view.snapshot().number(), "the number of " + id + " decreased");
    view = next;
    return true;
  }

  void handle(ConfigurationMessage message) {
    handler.handle(message, nowMs());
  }

  void tickIfDue() {
    if (handler.nextTickMs() <= nowMs()) {
      handler.tick(nowMs());
    }
  }

  /**
   * Applies a committed command. While {@link #statesToDrop} is positive, the message with the new
   * state is dropped as by a full ring.
   */
  CommandResult apply(ConfigurationCommand command) {
    appliedCommands++;
    CommandResult result = new CommandResult.BarrierPassed(state.number());
    if (command instanceof ConfigurationCommand.Accept) {
      ConfigurationState.Change change = state.accept((ConfigurationCommand.Accept) command);
      state = change.state();
      result = change.result();
    }
    if (statesToDrop > 0) {
      statesToDrop--;
    } else {
      handle(new ConfigurationMessage.StateApplied(state));
    }
    return result;
  }
}
