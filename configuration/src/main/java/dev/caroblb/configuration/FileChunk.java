package dev.caroblb.configuration;

import java.util.List;

/**
 * Some of the files that an entry does not have yet.
 *
 * @param after cursor of the request, after which the files start
 * @param files the files changed after that cursor
 * @param next cursor of the last file in this chunk, or {@code after} if it has no files
 * @param last whether no further files follow
 */
public record FileChunk(
    FileCursor after, List<PublishedFile> files, FileCursor next, boolean last) {
  public FileChunk {
    files = List.copyOf(files);
  }
}
