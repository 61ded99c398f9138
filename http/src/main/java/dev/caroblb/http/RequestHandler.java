package dev.caroblb.http;

/** Handles complete requests. Called on the reactor threads; must not block. */
@FunctionalInterface
public interface RequestHandler {
  void handle(IncomingRequest request, Reply reply);
}
