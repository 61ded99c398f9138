package dev.caroblb.configcheck.routes;

import dev.caroblb.routing.Workspace;
import java.util.List;

/** A workspace of a routing document, with its API keys. */
public record WorkspaceDraft(Workspace workspace, List<String> keys) {
  public WorkspaceDraft {
    keys = List.copyOf(keys);
  }
}
