package dev.caroblb.callers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import dev.caroblb.http.Reply;
import java.util.Map;

/** Encodes complete responses. */
final class Responses {
  static final String JSON = "application/json";

  private static final int MS_PER_SECOND = 1_000;

  private Responses() {}

  static void json(Reply reply, int status, JsonNode body) {
    reply.send(status, JSON, Payload.ofText(body.toString()), Map.of());
  }

  /** Sends a refusal and counts it. */
  static void refuse(Reply reply, Refusal refusal, RefusalCounter refusals) {
    refusals.refused(refusal.reason());
    refuse(reply, refusal);
  }

  static void refuse(Reply reply, Refusal refusal) {
    Map<String, String> headers =
        refusal.retryAfterMs() == 0
            ? Map.of()
            : Map.of("Retry-After", Long.toString(1 + refusal.retryAfterMs() / MS_PER_SECOND));
    reply.send(
        refusal.reason().httpStatus(),
        JSON,
        Payload.ofText(refusalBody(refusal).toString()),
        headers);
  }

  static ObjectNode refusalBody(Refusal refusal) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("kind", refusal.reason().kind().wireName());
    body.put("reason", refusal.reason().wireName());
    body.put("message", refusal.message());
    body.put("retry_after_ms", refusal.retryAfterMs());
    return body;
  }
}
