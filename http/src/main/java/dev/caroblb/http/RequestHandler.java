package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.util.List;

/** Handles complete requests. Called on the reactor threads; must not block. */
@FunctionalInterface
public interface RequestHandler {
  void handle(IncomingRequest request, Reply reply);

  /**
   * Rejects a request for whose body, or response, the process has no memory.
   *
   * @param head the request without its body
   */
  default void rejectForMemory(IncomingRequest head, Reply reply) {
    reply.send(
        503,
        List.of(new HeaderField("Content-Type", "text/plain"), new HeaderField("Retry-After", "1")),
        Payload.ofText("too many long requests at once; send the request again"));
  }
}
