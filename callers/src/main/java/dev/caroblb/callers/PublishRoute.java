package dev.caroblb.callers;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import java.util.ArrayList;
import java.util.List;

/** Publishes team files for an operator: {@code POST /v1/publishes}. */
final class PublishRoute implements Route {
  private static final List<String> PATH = List.of("v1", "publishes");
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int UNPROCESSABLE = 422;
  private static final int UNAVAILABLE = 503;

  private final String operatorTokenSha256;
  private final PublishSink sink;
  private final RefusalCounter refusals;

  PublishRoute(String operatorTokenSha256, PublishSink sink, RefusalCounter refusals) {
    this.operatorTokenSha256 = operatorTokenSha256;
    this.sink = sink;
    this.refusals = refusals;
  }

  @Override
  public boolean matches(String method, List<String> path) {
    return method.equals("POST") && path.equals(PATH);
  }

  @Override
  public void handle(IncomingRequest request, List<String> path, Reply reply) {
    if (!BearerTokens.matches(request, operatorTokenSha256)) {
      Responses.refuse(reply, Refusal.of(RefusalReason.UNAUTHENTICATED), refusals);
      return;
    }
    PublishSink.SubmittedPublish publish;
    try {
      publish = decode(request);
    } catch (MalformedBodyException e) {
      Responses.refuse(reply, Refusal.of(RefusalReason.MALFORMED, e.getMessage()), refusals);
      return;
    }
    if (!sink.publish(publish, answer -> Responses.json(reply, status(answer), encode(answer)))) {
      Responses.refuse(reply, Refusal.of(RefusalReason.RING_FULL), refusals);
    }
  }

  private static PublishSink.SubmittedPublish decode(IncomingRequest request)
      throws MalformedBodyException {
    JsonBody body = JsonBody.parse(request.body());
    List<PublishSink.SubmittedFile> files = new ArrayList<>();
    for (JsonNode node : body.array("files")) {
      JsonBody file = JsonBody.object(node, "each of \"files\"");
      files.add(new PublishSink.SubmittedFile(file.text("name"), file.text("text")));
    }
    return new PublishSink.SubmittedPublish(body.integer("number"), body.text("request"), files);
  }

  private static int status(PublishSink.Answer answer) {
    return switch (answer.outcome()) {
      case "in_force", "accepted" -> OK;
      case "conflict" -> CONFLICT;
      case "refused" -> UNPROCESSABLE;
      default -> UNAVAILABLE;
    };
  }

  private static ObjectNode encode(PublishSink.Answer answer) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("number", answer.number());
    body.put("outcome", answer.outcome());
    answer
        .winner()
        .ifPresent(
            winner ->
                body.putObject("winner")
                    .put("request", winner.request())
                    .put("digest", winner.digest()));
    body.put("message", answer.message());
    ArrayNode files = body.putArray("files");
    for (PublishSink.FileAnswer file : answer.files()) {
      ObjectNode node = files.addObject();
      node.put("name", file.name());
      node.put("outcome", file.accepted() ? "accepted" : "refused");
      ArrayNode errors = node.putArray("errors");
      file.errors().forEach(errors::add);
    }
    return body;
  }
}
