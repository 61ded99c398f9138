package dev.caroblb.callers;

import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import java.util.List;

/** Handler of one resource of the HTTP interface. */
interface Route {
  /** Whether the route handles the method and the path, given as its segments. */
  boolean matches(String method, List<String> path);

  void handle(IncomingRequest request, List<String> path, Reply reply);
}
