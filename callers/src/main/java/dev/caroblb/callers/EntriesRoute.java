package dev.caroblb.callers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import java.util.List;

/**
 * Returns the entry instances that callers may use and how long callers may cache the list: {@code
 * GET /v1/entries}.
 */
final class EntriesRoute implements Route {
  private static final List<String> PATH = List.of("v1", "entries");
  private static final int OK = 200;

  private final EntryDirectory directory;

  EntriesRoute(EntryDirectory directory) {
    this.directory = directory;
  }

  @Override
  public boolean matches(String method, List<String> path) {
    return method.equals("GET") && path.equals(PATH);
  }

  @Override
  public void handle(IncomingRequest request, List<String> path, Reply reply) {
    Responses.json(reply, OK, encode(directory));
  }

  static ObjectNode encode(EntryDirectory directory) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode entries = body.putArray("entries");
    for (EntryAddress entry : directory.entries()) {
      entries
          .addObject()
          .put("address", entry.address())
          .put("instance", entry.instance())
          .put("domain", entry.domain());
    }
    body.put("keep_ms", directory.addressTtlMs());
    return body;
  }
}
