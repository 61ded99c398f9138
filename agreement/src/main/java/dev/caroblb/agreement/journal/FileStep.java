package dev.caroblb.agreement.journal;

import java.io.IOException;
import java.nio.file.Path;

/** Steps that make a new file durable before it becomes visible under its name. */
final class FileStep {
  private FileStep() {}

  /** Writes a file aside, syncs it, renames it and syncs its folder. */
  static void writeDurably(FileAccess files, Path file, byte[] bytes) throws IOException {
    Path aside = writeAside(files, file, bytes);
    files.rename(aside, file);
    files.syncFolder(file.getParent());
  }

  /** Writes a file under a temporary name and syncs it. */
  static Path writeAside(FileAccess files, Path file, byte[] bytes) throws IOException {
    Path aside = file.resolveSibling(file.getFileName() + FileNames.ASIDE);
    files.delete(aside);
    try (WritableFile opened = files.open(aside)) {
      opened.write(bytes);
      opened.sync();
    }
    return aside;
  }
}
