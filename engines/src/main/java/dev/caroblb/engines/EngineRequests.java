package dev.caroblb.engines;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.ModelId;
import dev.caroblb.core.Payload;
import dev.caroblb.http.OutgoingRequest;
import dev.caroblb.streams.EngineCommand;
import java.util.Map;

/** Encodes requests to engines and plain services. */
final class EngineRequests {
  private static final String JSON = "application/json";
  private static final String ENTRY_HEADER = "Caroblb-Entry";
  private static final String WORKSPACE_HEADER = "Caroblb-Workspace";

  private final InstanceId self;

  EngineRequests(InstanceId self) {
    this.self = self;
  }

  OutgoingRequest generate(EngineCommand.Generate command) {
    CallRequest call = command.call();
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.put("generation", command.generation().toString());
    body.put("workspace", call.workspace().name());
    body.put("call", call.policy().call());
    body.put("model", call.policy().model().map(ModelId::toString).orElse(""));
    body.put("priority", command.priority());
    body.put("prompt", call.body().text());
    return new OutgoingRequest(
        "POST",
        "/v1/generations",
        Map.of(ENTRY_HEADER, self.name()),
        JSON,
        Payload.ofText(body.toString()));
  }

  OutgoingRequest resume(EngineCommand.Resume command) {
    return new OutgoingRequest(
        "POST",
        "/v1/generations/" + command.generation() + "/resume",
        Map.of(
            ENTRY_HEADER,
            self.name(),
            WORKSPACE_HEADER,
            command.workspace().name(),
            "Last-Event-ID",
            Long.toString(command.afterSequence())),
        JSON,
        Payload.empty());
  }

  OutgoingRequest cancel(EngineCommand.Cancel command) {
    return new OutgoingRequest(
        "DELETE",
        "/v1/generations/" + command.generation(),
        Map.of(ENTRY_HEADER, self.name()),
        JSON,
        Payload.empty());
  }

  OutgoingRequest call(EngineCommand.CallService command) {
    Map<String, String> headers =
        command.key().isEmpty()
            ? Map.of(ENTRY_HEADER, self.name())
            : Map.of(ENTRY_HEADER, self.name(), "Idempotency-Key", command.key());
    return new OutgoingRequest(
        "POST", "/v1/calls/" + command.call(), headers, JSON, command.body());
  }
}
