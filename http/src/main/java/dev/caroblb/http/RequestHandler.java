package dev.caroblb.http;

/** Receives whole requests on the threads of the reactor; must not block. */
@FunctionalInterface
public interface RequestHandler {
  void handle(IncomingRequest request, Reply reply);
}
