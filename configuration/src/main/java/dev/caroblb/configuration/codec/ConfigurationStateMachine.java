package dev.caroblb.configuration.codec;

import dev.caroblb.configuration.CommandResult;
import dev.caroblb.configuration.ConfigurationCommand;
import dev.caroblb.configuration.ConfigurationMessage;
import dev.caroblb.configuration.ConfigurationState;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.StateMachine;

/**
 * State machine of the control group. It offers its state to the configuration duty after each
 * command. If the ring of the duty is full, the state is offered again after the next command. A
 * leader that has not received the latest state proposes a barrier as that next command.
 */
public final class ConfigurationStateMachine implements StateMachine {
  private final Outlet<ConfigurationMessage> duty;
  private final CommandCodec commands = new CommandCodec();
  private final ResultCodec results = new ResultCodec();
  private final SnapshotCodec snapshots = new SnapshotCodec();
  private ConfigurationState state = ConfigurationState.empty();

  /** Creates a state machine with an empty state. */
  public ConfigurationStateMachine(Outlet<ConfigurationMessage> duty) {
    this.duty = duty;
  }

  @Override
  public Payload apply(Payload command) {
    CommandResult result =
        applied(commands.decode(command).orElseThrow(ConfigurationStateMachine::unreadable));
    offerState();
    return results.encode(result);
  }

  /**
   * Fails instead of skipping the command, because skipping a committed command would make this
   * replica diverge from the others.
   */
  private static IllegalStateException unreadable() {
    return new IllegalStateException(
        "a committed configuration command has an unknown format; start this replica with the"
            + " software version of the control leader");
  }

  private CommandResult applied(ConfigurationCommand command) {
    if (!(command instanceof ConfigurationCommand.Accept)) {
      return new CommandResult.BarrierPassed(state.number());
    }
    ConfigurationState.Change change = state.accept((ConfigurationCommand.Accept) command);
    state = change.state();
    return change.result();
  }

  @Override
  public Payload snapshot() {
    return snapshots.encode(state);
  }

  @Override
  public void restore(Payload snapshot) {
    state =
        snapshots
            .decode(snapshot)
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "the configuration snapshot has an unknown format; start a software"
                            + " version that reads it, or restore the data folder"));
    offerState();
  }

  private void offerState() {
    boolean unused = duty.offer(new ConfigurationMessage.StateApplied(state));
  }
}
