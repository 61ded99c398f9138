package dev.caroblb.configuration;

import java.util.List;

/**
 * Accepted version of a team file.
 *
 * @param name name of the file
 * @param text its content
 * @param team team that owns it
 * @param workspaces names of the workspaces that it claims
 * @param changedBy number of the publish that it came with
 */
public record StoredFile(
    String name, String text, String team, List<String> workspaces, long changedBy) {
  public StoredFile {
    workspaces = List.copyOf(workspaces);
  }

  FileCursor cursor() {
    return new FileCursor(changedBy, name);
  }

  PublishedFile content() {
    return new PublishedFile(name, text);
  }
}
