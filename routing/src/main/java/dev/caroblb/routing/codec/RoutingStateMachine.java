package dev.caroblb.routing.codec;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.StateMachine;
import dev.caroblb.routing.RoutingCommand;
import dev.caroblb.routing.RoutingDocument;
import dev.caroblb.routing.RoutingMessage;
import java.util.Optional;

/**
 * Replicated state: the accepted document with the greatest number. The first document accepted
 * under a number is kept; later documents with the same number are ignored.
 */
public final class RoutingStateMachine implements StateMachine {
  private final CommandCodec commands = new CommandCodec();
  private final Outlet<RoutingMessage> handler;
  private Optional<RoutingDocument> accepted = Optional.empty();

  /** Creates an empty state whose changes are offered to the queue of the routing handler. */
  public RoutingStateMachine(Outlet<RoutingMessage> handler) {
    this.handler = handler;
  }

  @Override
  public Payload apply(Payload command) {
    RoutingCommand decoded =
        commands
            .decode(command)
            .orElseThrow(
                () ->
                    new IllegalStateException(
                        "a committed routing command has an unknown format; start this replica"
                            + " with the software version of the control leader"));
    if (decoded instanceof RoutingCommand.Accept accept && isNewer(accept.document())) {
      accepted = Optional.of(accept.document());
    }
    offerAccepted();
    return Payload.empty();
  }

  private boolean isNewer(RoutingDocument document) {
    return accepted.isEmpty() || document.number() > accepted.get().number();
  }

  @Override
  public Payload snapshot() {
    return accepted
        .map(document -> commands.encode(new RoutingCommand.Accept(document)))
        .orElseGet(Payload::empty);
  }

  @Override
  public void restore(Payload snapshot) {
    accepted = snapshot.size() == 0 ? Optional.empty() : Optional.of(restored(snapshot));
    offerAccepted();
  }

  /** Lets instances that restart together get a table before the control group has a leader. */
  @Override
  public boolean snapshotsWhenIdle() {
    return true;
  }

  private RoutingDocument restored(Payload snapshot) {
    return commands
        .decode(snapshot)
        .filter(RoutingCommand.Accept.class::isInstance)
        .map(command -> ((RoutingCommand.Accept) command).document())
        .orElseThrow(
            () ->
                new IllegalArgumentException(
                    "the routing snapshot has an unknown format; start a software version that"
                        + " can read it, or restore the data folder"));
  }

  /**
   * Offers the accepted document to the routing handler. If its queue is connected after the state
   * was restored, this has to be called again.
   */
  public void offerAccepted() {
    accepted.ifPresent(
        document -> {
          boolean unused = handler.offer(new RoutingMessage.Applied(document));
        });
  }
}
