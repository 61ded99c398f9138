package dev.caroblb.standins.process;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.Payload;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import dev.caroblb.http.RequestHandler;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A plain service that counts the executions of each idempotency key. It deliberately does not
 * deduplicate, so that tests can see a duplicate execution in its record.
 */
final class StandinService implements RequestHandler, Standin {
  private static final String JSON = "application/json";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final Set<String> services;
  private final Map<String, Integer> runsByKey = new ConcurrentHashMap<>();

  StandinService(Set<String> services) {
    this.services = Set.copyOf(services);
  }

  @Override
  public void handle(IncomingRequest request, Reply reply) {
    if (request.method().equals("GET") && request.path().equals("/v1/record")) {
      sendRecord(reply);
      return;
    }
    if (!request.method().equals("POST") || !request.path().startsWith("/v1/calls/")) {
      reply.send(NOT_FOUND, JSON, Payload.ofText("{}"), Map.of());
      return;
    }
    String key = request.header("Idempotency-Key").orElse("");
    int run = runsByKey.merge(key, 1, Integer::sum);
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("key", key).put("run", run);
    reply.send(OK, JSON, Payload.ofText(body.toString()), Map.of());
  }

  private void sendRecord(Reply reply) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    runsByKey.forEach(body::put);
    reply.send(OK, JSON, Payload.ofText(body.toString()), Map.of());
  }

  @Override
  public void addToAnnouncement(ObjectNode announcement) {
    ArrayNode serves = announcement.putArray("serves");
    services.forEach(serves::add);
  }

  @Override
  public void tick(long nowMs) {}
}
