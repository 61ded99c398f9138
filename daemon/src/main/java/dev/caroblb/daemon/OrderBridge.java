package dev.caroblb.daemon;

import dev.caroblb.configuration.ConfigurationSnapshot;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.TargetId;
import dev.caroblb.engines.EngineOrders;
import dev.caroblb.http.HttpConnector;
import dev.caroblb.metrics.InstanceMetrics;
import dev.caroblb.orders.EngineOrder;
import dev.caroblb.orders.OrderOutcome;
import dev.caroblb.orders.OrdersCounters;
import dev.caroblb.orders.OrdersEvent;
import dev.caroblb.orders.OrdersHandler;
import dev.caroblb.orders.OrdersMessage;
import dev.caroblb.orders.OrdersOutlets;
import dev.caroblb.orders.ReadBack;
import dev.caroblb.orders.WantedModel;
import dev.caroblb.streams.Endpoint;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Connects the orders duty of a replica to configuration, membership and the engine adapter. */
final class OrderBridge implements AutoCloseable {
  /** Number of concurrent model loads that the weight store sustains. */
  private static final int LOAD_BURST = 2;

  /** Interval at which the weight store sustains one more model load. */
  private static final long LOAD_INTERVAL_MS = 10_000;

  private final TargetDirectory targets;
  private final LateBoundOutlet<OrdersMessage> orders = new LateBoundOutlet<>();
  private final EngineOrders engines;

  OrderBridge(
      InstanceId self,
      DutyRegistry duties,
      HttpConnector connector,
      TargetDirectory targets,
      InstanceMetrics metrics) {
    this.targets = targets;
    engines = new EngineOrders(connector, self, orders, duties.clock());
    OrdersCounters counters = new OrdersCounters();
    OrdersHandler handler =
        new OrdersHandler(
            LOAD_BURST, LOAD_INTERVAL_MS, new OrdersOutlets(this::send, this::readBack), counters);
    orders.bind(duties.create("orders", handler));
    for (OrdersEvent event : OrdersEvent.values()) {
      metrics.addCounter(
          "caroblb.orders",
          "Events of orders to engines",
          "event",
          event.name().toLowerCase(Locale.ROOT),
          () -> counters.count(event));
    }
  }

  private boolean send(EngineOrder order) {
    Optional<Endpoint> endpoint = targets.endpoint(order.target());
    if (endpoint.isEmpty()) {
      return orders.offer(new OrdersMessage.OrderFinished(order, OrderOutcome.NOT_SENT));
    }
    engines.send(order, endpoint.get());
    return true;
  }

  private boolean readBack(ReadBack request) {
    targets.endpoint(request.engine()).ifPresent(engines::read);
    return true;
  }

  /** Tells the duty which models the active configuration needs. */
  boolean wantedModelsChanged(ConfigurationSnapshot snapshot) {
    List<WantedModel> models =
        snapshot.replicasByModel().entrySet().stream()
            .map(modelReplicas -> new WantedModel(modelReplicas.getKey(), modelReplicas.getValue()))
            .toList();
    return orders.offer(new OrdersMessage.Wanted(models));
  }

  /** Tells the duty which engines may receive orders. */
  boolean enginesChanged() {
    Set<TargetId> available = targets.availableEngines();
    return orders.offer(new OrdersMessage.KnownEngines(available));
  }

  /** Tells the duty who leads the control group. */
  boolean leaseChanged(LeaderLease lease) {
    return orders.offer(new OrdersMessage.LeaseChanged(lease));
  }

  @Override
  public void close() {
    engines.close();
  }
}
