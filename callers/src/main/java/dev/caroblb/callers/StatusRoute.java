package dev.caroblb.callers;

import dev.caroblb.core.Payload;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import java.util.List;
import java.util.Map;

/**
 * Returns the state and the metrics of the instance: {@code GET /v1/status} and {@code GET
 * /metrics}.
 */
final class StatusRoute implements Route {
  private static final List<String> STATUS = List.of("v1", "status");
  private static final List<String> METRICS = List.of("metrics");
  private static final String METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
  private static final int OK = 200;

  private final StatusSource source;

  StatusRoute(StatusSource source) {
    this.source = source;
  }

  @Override
  public boolean matches(String method, List<String> path) {
    return method.equals("GET") && (path.equals(STATUS) || path.equals(METRICS));
  }

  @Override
  public void handle(IncomingRequest request, List<String> path, Reply reply) {
    if (path.equals(METRICS)) {
      reply.send(OK, METRICS_TYPE, Payload.ofText(source.metrics()), Map.of());
      return;
    }
    reply.send(OK, Responses.JSON, Payload.ofText(source.status()), Map.of());
  }
}
