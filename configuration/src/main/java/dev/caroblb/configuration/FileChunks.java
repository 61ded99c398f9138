package dev.caroblb.configuration;

import java.util.ArrayList;
import java.util.List;

/** Splits the files that an entry does not have yet into chunks that fit in one message. */
final class FileChunks {
  /**
   * Size at which a chunk is closed. It leaves room for one more file of at most 256 KiB, which
   * keeps every chunk below 1 MiB.
   */
  static final int CHUNK_BYTES = 640 * 1024;

  private FileChunks() {}

  /**
   * Returns the files after a cursor, up to and including the one that reaches {@code chunkBytes}.
   */
  static FileChunk after(FileCursor after, ConfigurationState state, int chunkBytes) {
    List<PublishedFile> files = new ArrayList<>();
    FileCursor next = after;
    int bytes = 0;
    for (StoredFile file : state.changesAfter(after)) {
      if (bytes >= chunkBytes) {
        return new FileChunk(after, files, next, false);
      }
      files.add(file.content());
      bytes += file.content().sizeBytes();
      next = file.cursor();
    }
    return new FileChunk(after, files, next, true);
  }
}
