package dev.caroblb.configuration;

import dev.caroblb.core.Outlet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Proposals without an outcome yet. Outcomes arrive through the ring of the duty and are passed to
 * the callback of their proposal.
 */
final class PendingProposals {
  private final CommandProposer proposer;
  private final Outlet<ConfigurationMessage> self;
  private final ConfigurationCounters counters;
  private final Map<Long, Consumer<CommandOutcome>> callbacks = new HashMap<>();
  private long lastId;

  PendingProposals(
      CommandProposer proposer, Outlet<ConfigurationMessage> self, ConfigurationCounters counters) {
    this.proposer = proposer;
    this.self = self;
    this.counters = counters;
  }

  /** Proposes a command. Returns false if the control group cannot take it. */
  boolean propose(ConfigurationCommand command, Consumer<CommandOutcome> callback) {
    lastId++;
    long id = lastId;
    callbacks.put(id, callback);
    boolean proposed =
        proposer.propose(
            command, outcome -> self.offer(new ConfigurationMessage.CommandFinished(id, outcome)));
    if (!proposed) {
      counters.add(ConfigurationEvent.PROPOSAL_DELAYED);
      callbacks.remove(id);
    }
    return proposed;
  }

  void commandFinished(ConfigurationMessage.CommandFinished message) {
    Optional.ofNullable(callbacks.remove(message.proposal()))
        .ifPresent(callback -> callback.accept(message.outcome()));
  }

  int size() {
    return callbacks.size();
  }
}
