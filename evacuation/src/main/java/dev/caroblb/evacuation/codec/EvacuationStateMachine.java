package dev.caroblb.evacuation.codec;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.StateMachine;
import dev.caroblb.evacuation.EvacuationCommand;
import dev.caroblb.evacuation.EvacuationMessage;
import dev.caroblb.evacuation.EvacuationState;
import java.util.Optional;

/** Replicated state: the evacuated failure domains. The result of a command is the new state. */
public final class EvacuationStateMachine implements StateMachine {
  private final CommandCodec commands = new CommandCodec();
  private final Outlet<EvacuationMessage> handler;
  private EvacuationState state = EvacuationState.NONE;

  /** Creates an empty state whose changes are offered to the queue of the evacuation handler. */
  public EvacuationStateMachine(Outlet<EvacuationMessage> handler) {
    this.handler = handler;
  }

  /** Whether the bytes are a command of this state machine. */
  boolean understands(Payload command) {
    return commands.decode(command).isPresent();
  }

  @Override
  public Payload apply(Payload command) {
    Optional<EvacuationCommand> decoded = commands.decode(command);
    if (decoded.isEmpty()) {
      throw new IllegalStateException(
          "a committed evacuation command has an unknown format; start this replica with the"
              + " software version of the control leader");
    }
    state = state.after(decoded.get());
    offerState();
    return StateFormat.encode(state);
  }

  /** Whether no order has changed the state yet. */
  boolean isInitial() {
    return state.equals(EvacuationState.NONE);
  }

  @Override
  public Payload snapshot() {
    return StateFormat.encode(state);
  }

  @Override
  public void restore(Payload snapshot) {
    state =
        StateFormat.decode(snapshot)
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "the evacuation snapshot has an unknown format; start a software version"
                            + " that can read it, or restore the data folder"));
    offerState();
  }

  /** Restores the state of a snapshot that was written before the first order. */
  void restoreInitial() {
    state = EvacuationState.NONE;
  }

  /** Lets instances that restart together get the state before the control group has a leader. */
  @Override
  public boolean snapshotsWhenIdle() {
    return true;
  }

  /**
   * Offers the state to the evacuation handler. If its queue is connected after the state was
   * restored, this has to be called again.
   */
  public void offerState() {
    boolean unused = handler.offer(new EvacuationMessage.Applied(state));
  }
}
