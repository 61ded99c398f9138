package dev.caroblb.configuration.codec;

import dev.caroblb.configuration.CommandResult;
import dev.caroblb.configuration.ConfigurationCommand;
import dev.caroblb.configuration.ConfigurationMessage;
import dev.caroblb.configuration.ConfigurationState;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.StateMachine;

/**
 * State machine of the control group. After each command it offers the state to the configuration
 * duty; a state refused by a full ring is made up for by the next command, which the leader
 * proposes when it misses one.
 */
public final class ConfigurationStateMachine implements StateMachine {
  private final Outlet<ConfigurationMessage> duty;
  private final CommandCodec commands = new CommandCodec();
  private final ResultCodec results = new ResultCodec();
  private final SnapshotCodec snapshots = new SnapshotCodec();
  private ConfigurationState state = ConfigurationState.empty();

  /** Creates an empty state whose changes are offered to the ring of the configuration duty. */
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

  /** A replica that skipped a committed command would differ from the others from then on. */
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
