package dev.caroblb.configuration;

import java.util.List;

/** Command of the replicated configuration state. */
public sealed interface ConfigurationCommand {
  /**
   * A publish whose files were checked by the leader. Replicas do not parse the files, so that
   * replicas with different software versions reach the same state.
   */
  record Accept(long number, String request, String digest, List<CheckedFile> files)
      implements ConfigurationCommand {
    public Accept {
      files = List.copyOf(files);
    }
  }

  /** Changes nothing; its result proves that everything committed before it was applied. */
  record Barrier() implements ConfigurationCommand {}

  /** A valid team file with the names that it claims. */
  record CheckedFile(String name, String text, String team, List<String> workspaces) {
    public CheckedFile {
      workspaces = List.copyOf(workspaces);
    }
  }
}
