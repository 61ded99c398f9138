package dev.caroblb.configuration;

import java.util.List;

/**
 * Part of the files that an entry lacks.
 *
 * @param after position that the request named
 * @param files the files behind it
 * @param next position behind the last of these files
 * @param last whether no file lies behind {@code next}
 */
public record FileChunk(
    FileCursor after, List<PublishedFile> files, FileCursor next, boolean last) {
  public FileChunk {
    files = List.copyOf(files);
  }
}
