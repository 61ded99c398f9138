package dev.caroblb.engines;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.IpEndpoints;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.ModelId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.http.ClientExchange;
import dev.caroblb.http.HttpConnector;
import dev.caroblb.http.OutgoingRequest;
import dev.caroblb.orders.EngineOrder;
import dev.caroblb.orders.EngineState;
import dev.caroblb.orders.OrderOutcome;
import dev.caroblb.orders.OrdersMessage;
import dev.caroblb.streams.Endpoint;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Sends orders to engines and reads their state back. The connection of an order is closed at the
 * time limit of the order, so that a stalled connection cannot deliver it later.
 */
public final class EngineOrders implements AutoCloseable {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String JSON = "application/json";
  private static final String ENTRY_HEADER = "Caroblb-Entry";
  private static final long READ_LIMIT_MS = 1_500;
  private static final int OK = 200;
  private static final int CONFLICT = 409;

  private final HttpConnector connector;
  private final InstanceId self;
  private final Outlet<OrdersMessage> orders;
  private final MillisClock clock;
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "order-limits"));

  public EngineOrders(
      HttpConnector connector, InstanceId self, Outlet<OrdersMessage> orders, MillisClock clock) {
    this.connector = connector;
    this.self = self;
    this.orders = orders;
    this.clock = clock;
  }

  /** Sends an order and reports its outcome to the orders duty. */
  public void send(EngineOrder order, Endpoint endpoint) {
    long leftMs = order.sendBeforeMs() - clock.nowMs();
    Optional<InetSocketAddress> address = IpEndpoints.parse(endpoint.address());
    if (leftMs <= 0 || address.isEmpty()) {
      finish(order, OrderOutcome.NOT_SENT);
      return;
    }
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("fencing", order.fencing());
    body.put("kind", order.kind().name().toLowerCase(Locale.ROOT));
    body.put("model", order.model().toString());
    OutgoingRequest request =
        new OutgoingRequest(
            "POST",
            "/v1/orders",
            Map.of(ENTRY_HEADER, self.name()),
            JSON,
            Payload.ofText(body.toString()));
    cancelAfter(
        connector.execute(address.get(), request, new BufferedResponse(new OrderListener(order))),
        leftMs);
  }

  private void cancelAfter(ClientExchange exchange, long limitMs) {
    ScheduledFuture<?> unusedLimit =
        timer.schedule(exchange::cancel, limitMs, TimeUnit.MILLISECONDS);
  }

  private void finish(EngineOrder order, OrderOutcome outcome) {
    orders.offer(new OrdersMessage.OrderFinished(order, outcome));
  }

  private final class OrderListener implements BufferedResponse.Listener {
    private final EngineOrder order;

    OrderListener(EngineOrder order) {
      this.order = order;
    }

    @Override
    public void answered(int status, Payload body) {
      finish(
          order,
          switch (status) {
            case OK -> OrderOutcome.ACCEPTED;
            case CONFLICT -> OrderOutcome.REFUSED_TOKEN;
            default -> OrderOutcome.UNKNOWN;
          });
    }

    @Override
    public void failed(boolean written) {
      finish(order, written ? OrderOutcome.UNKNOWN : OrderOutcome.NOT_SENT);
    }
  }

  /** Reads the state of an engine and reports it to the orders duty, if the engine answers. */
  public void read(Endpoint endpoint) {
    Optional<InetSocketAddress> address = IpEndpoints.parse(endpoint.address());
    if (address.isEmpty()) {
      return;
    }
    OutgoingRequest request =
        new OutgoingRequest(
            "GET", "/v1/state", Map.of(ENTRY_HEADER, self.name()), JSON, Payload.empty());
    cancelAfter(
        connector.execute(
            address.get(), request, new BufferedResponse(new StateListener(endpoint))),
        READ_LIMIT_MS);
  }

  private final class StateListener implements BufferedResponse.Listener {
    private final Endpoint endpoint;

    StateListener(Endpoint endpoint) {
      this.endpoint = endpoint;
    }

    @Override
    public void answered(int status, Payload body) {
      if (status != OK) {
        return;
      }
      decode(endpoint, body).ifPresent(state -> orders.offer(new OrdersMessage.StateRead(state)));
    }

    @Override
    public void failed(boolean written) {
      // The next read-back tries again.
    }
  }

  private static Optional<EngineState> decode(Endpoint endpoint, Payload body) {
    try {
      JsonNode node = MAPPER.readTree(body.text());
      return Optional.of(
          new EngineState(
              endpoint.target(),
              Long.toString(endpoint.incarnation()),
              models(node.path("models")),
              models(node.path("loading")),
              node.path("running").asInt(),
              node.path("fencing").asLong()));
    } catch (JsonProcessingException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Set<ModelId> models(JsonNode names) {
    Set<ModelId> models = new LinkedHashSet<>();
    for (JsonNode name : names) {
      models.add(ModelId.parse(name.asText()));
    }
    return models;
  }

  @Override
  public void close() {
    timer.shutdownNow();
  }
}
