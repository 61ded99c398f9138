package dev.caroblb.orders;

import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.TargetId;
import java.util.List;
import java.util.Set;

/** Message to the orders duty. */
public sealed interface OrdersMessage {
  /** The models that the configuration in force needs. */
  record Wanted(List<WantedModel> models) implements OrdersMessage {
    public Wanted {
      models = List.copyOf(models);
    }
  }

  /** The engines that may get orders: alive and not leaving. */
  record KnownEngines(Set<TargetId> engines) implements OrdersMessage {
    public KnownEngines {
      engines = Set.copyOf(engines);
    }
  }

  /** Answer to a read-back request. */
  record StateRead(EngineState state) implements OrdersMessage {}

  /** The sender has finished with an order. */
  record OrderFinished(EngineOrder order, OrderOutcome outcome) implements OrdersMessage {}

  /** The leader or the lease of a consensus group changed. */
  record LeaseChanged(LeaderLease lease) implements OrdersMessage {}
}
