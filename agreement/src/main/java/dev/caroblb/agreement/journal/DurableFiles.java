package dev.caroblb.agreement.journal;

import java.io.IOException;
import java.nio.file.Path;

/** Writes files so that they are durable before they appear under their final name. */
final class DurableFiles {
  private DurableFiles() {}

  /** Writes a temporary file, syncs it, renames it to its final name and syncs the folder. */
  static void writeDurably(FileAccess files, Path file, byte[] bytes) throws IOException {
    Path temporary = writeTemporary(files, file, bytes);
    files.rename(temporary, file);
    files.syncFolder(file.getParent());
  }

  /** Writes a file under a temporary name and syncs it. */
  static Path writeTemporary(FileAccess files, Path file, byte[] bytes) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + FileNames.TEMPORARY_SUFFIX);
    files.delete(temporary);
    try (WritableFile opened = files.open(temporary)) {
      opened.write(bytes);
      opened.sync();
    }
    return temporary;
  }
}
