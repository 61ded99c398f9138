package dev.caroblb.configuration;

import java.util.List;

/**
 * Accepted version of a team file.
 *
 * @param name name of the file
 * @param text content of the file
 * @param team team that owns the file
 * @param workspaces names of the workspaces that the file claims
 * @param publishNumber number of the publish that contained this version
 */
public record StoredFile(
    String name, String text, String team, List<String> workspaces, long publishNumber) {
  public StoredFile {
    workspaces = List.copyOf(workspaces);
  }

  FileCursor cursor() {
    return new FileCursor(publishNumber, name);
  }

  PublishedFile content() {
    return new PublishedFile(name, text);
  }
}
