package dev.caroblb.configuration;

import java.util.ArrayList;
import java.util.List;

/** Cuts the files that an entry lacks into chunks that fit in one message. */
final class FileChunks {
  /** With one more file of 256 KiB a chunk stays below 1 MiB. */
  static final int CHUNK_BYTES = 640 * 1024;

  private FileChunks() {}

  /** The files behind a position until they exceed {@code chunkBytes}, at least one. */
  static FileChunk after(FileCursor position, ConfigurationState state, int chunkBytes) {
    List<PublishedFile> files = new ArrayList<>();
    FileCursor next = position;
    int bytes = 0;
    for (StoredFile file : state.changesAfter(position)) {
      if (bytes >= chunkBytes) {
        return new FileChunk(position, files, next, false);
      }
      files.add(file.content());
      bytes += file.content().sizeBytes();
      next = file.cursor();
    }
    return new FileChunk(position, files, next, true);
  }
}
