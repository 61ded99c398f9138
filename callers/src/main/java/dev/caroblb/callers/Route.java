package dev.caroblb.callers;

import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import java.util.List;

/** One resource of the HTTP interface. */
interface Route {
  /** Whether the route answers the method and the path, which is split at '/'. */
  boolean matches(String method, List<String> path);

  void handle(IncomingRequest request, List<String> path, Reply reply);
}
