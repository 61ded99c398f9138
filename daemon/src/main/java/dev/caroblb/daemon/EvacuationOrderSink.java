package dev.caroblb.daemon;

import dev.caroblb.callers.EvacuationSink;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.evacuation.EvacuationCommand;
import dev.caroblb.evacuation.EvacuationMessage;
import dev.caroblb.evacuation.OrderOutcome;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/** Passes orders to evacuate failure domains from the HTTP front end to the evacuation duty. */
final class EvacuationOrderSink implements EvacuationSink {
  private final Outlet<EvacuationMessage> evacuation;
  private final Set<FailureDomain> domains;

  /**
   * @param domains the failure domains that may be evacuated
   */
  EvacuationOrderSink(Outlet<EvacuationMessage> evacuation, Set<FailureDomain> domains) {
    this.evacuation = evacuation;
    this.domains = Set.copyOf(domains);
  }

  @Override
  public boolean knows(String domain) {
    return domains.stream().anyMatch(known -> known.name().equals(domain));
  }

  @Override
  public boolean order(String domain, boolean begin, Consumer<Answer> reply) {
    FailureDomain named = new FailureDomain(domain);
    EvacuationCommand command =
        begin ? new EvacuationCommand.Begin(named) : new EvacuationCommand.End(named);
    return evacuation.offer(
        new EvacuationMessage.Order(
            command,
            outcome -> {
              reply.accept(answer(outcome));
              return true;
            }));
  }

  private static Answer answer(OrderOutcome outcome) {
    if (outcome instanceof OrderOutcome.Accepted accepted) {
      return new Answer(
          Optional.of(new State(accepted.state().revision(), accepted.state().names())),
          Optional.empty());
    }
    Optional<InstanceId> leader =
        outcome instanceof OrderOutcome.AskLeader redirect
            ? Optional.of(redirect.leader())
            : Optional.empty();
    return new Answer(Optional.empty(), leader.map(InstanceId::name));
  }
}
