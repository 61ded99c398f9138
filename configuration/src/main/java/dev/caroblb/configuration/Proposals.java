package dev.caroblb.configuration;

import dev.caroblb.core.Outlet;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Matches the outcomes of proposals, which arrive through the ring, to what waits for them. */
final class Proposals {
  private final CommandProposer proposer;
  private final Outlet<ConfigurationMessage> self;
  private final ConfigurationCounters counters;
  private final Map<Long, Consumer<CommandOutcome>> waiting = new HashMap<>();
  private long lastId;

  Proposals(
      CommandProposer proposer, Outlet<ConfigurationMessage> self, ConfigurationCounters counters) {
    this.proposer = proposer;
    this.self = self;
    this.counters = counters;
  }

  /** Proposes a command; false when the control group has no room for it. */
  boolean propose(ConfigurationCommand command, Consumer<CommandOutcome> whenFinished) {
    lastId++;
    long id = lastId;
    waiting.put(id, whenFinished);
    boolean proposed =
        proposer.propose(
            command, outcome -> self.offer(new ConfigurationMessage.CommandFinished(id, outcome)));
    if (!proposed) {
      counters.add(ConfigurationEvent.PROPOSAL_DELAYED);
      waiting.remove(id);
    }
    return proposed;
  }

  void finished(ConfigurationMessage.CommandFinished message) {
    Optional.ofNullable(waiting.remove(message.proposal()))
        .ifPresent(whenFinished -> whenFinished.accept(message.outcome()));
  }

  int size() {
    return waiting.size();
  }
}
