package dev.caroblb.agreement.journal;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** File operations of the journal. An interface, so that tests can inject faults and crashes. */
public interface FileAccess {
  /** Creates a folder and its parents; does nothing if it exists. */
  void createFolder(Path folder) throws IOException;

  /** Sorted names of the files and folders in a folder. */
  List<String> list(Path folder) throws IOException;

  /** Size of a file in bytes; empty if it does not exist. */
  Optional<Long> size(Path file) throws IOException;

  byte[] read(Path file) throws IOException;

  /** Opens a file for appending; creates it if it does not exist. */
  WritableFile open(Path file) throws IOException;

  /** Renames a file atomically; an existing file under the new name is replaced. */
  void rename(Path from, Path to) throws IOException;

  void delete(Path file) throws IOException;

  /** Makes creations, renames and deletions in a folder durable (fsync of the folder). */
  void syncFolder(Path folder) throws IOException;

  /** Locks a file exclusively; empty if the lock is already held. */
  Optional<AutoCloseable> lock(Path file) throws IOException;
}
