package dev.caroblb.callers;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import java.util.List;

/**
 * Evacuates a failure domain for an operator and withdraws the order: {@code POST} and {@code
 * DELETE /v1/evacuations/DOMAIN}.
 */
final class EvacuationRoute implements Route {
  private static final List<String> PREFIX = List.of("v1", "evacuations");
  private static final int PATH_SEGMENTS = 3;
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;

  private final String operatorTokenSha256;
  private final EvacuationSink sink;
  private final RefusalCounter refusals;

  EvacuationRoute(String operatorTokenSha256, EvacuationSink sink, RefusalCounter refusals) {
    this.operatorTokenSha256 = operatorTokenSha256;
    this.sink = sink;
    this.refusals = refusals;
  }

  @Override
  public boolean matches(String method, List<String> path) {
    return (method.equals("POST") || method.equals("DELETE"))
        && path.size() == PATH_SEGMENTS
        && path.subList(0, PREFIX.size()).equals(PREFIX);
  }

  @Override
  public void handle(IncomingRequest request, List<String> path, Reply reply) {
    if (!BearerTokens.matches(request, operatorTokenSha256)) {
      Responses.refuse(reply, Refusal.of(RefusalReason.UNAUTHENTICATED), refusals);
      return;
    }
    String domain = path.get(PATH_SEGMENTS - 1);
    if (!sink.knows(domain)) {
      Responses.refuse(
          reply,
          Refusal.of(RefusalReason.MALFORMED, "the settings name no failure domain of that name"),
          refusals);
      return;
    }
    boolean begin = request.method().equals("POST");
    if (!sink.order(domain, begin, answer -> answer(reply, answer))) {
      Responses.refuse(reply, Refusal.of(RefusalReason.RING_FULL), refusals);
    }
  }

  private static void answer(Reply reply, EvacuationSink.Answer answer) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    if (answer.state().isEmpty()) {
      body.put("outcome", "unanswered");
      answer.leader().ifPresent(leader -> body.put("leader", leader));
      Responses.json(reply, UNAVAILABLE, body);
      return;
    }
    body.put("outcome", "accepted");
    body.put("revision", answer.state().get().revision());
    answer.state().get().evacuated().forEach(body.putArray("evacuated")::add);
    Responses.json(reply, OK, body);
  }
}
