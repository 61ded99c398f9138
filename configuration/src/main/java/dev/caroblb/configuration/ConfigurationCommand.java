package dev.caroblb.configuration;

import java.util.List;

/** Command of the replicated configuration state. */
public sealed interface ConfigurationCommand {
  /**
   * A publish whose files the leader has validated. Replicas do not parse the files again, so
   * replicas that run different software versions reach the same state.
   */
  record Accept(long number, String request, String digest, List<CheckedFile> files)
      implements ConfigurationCommand {
    public Accept {
      files = List.copyOf(files);
    }
  }

  /** A no-op; its result proves that every command committed before it was applied. */
  record Barrier() implements ConfigurationCommand {}

  /** A valid team file with the team and workspace names that it claims. */
  record CheckedFile(String name, String text, String team, List<String> workspaces) {
    public CheckedFile {
      workspaces = List.copyOf(workspaces);
    }
  }
}
