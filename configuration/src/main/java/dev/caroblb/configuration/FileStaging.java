package dev.caroblb.configuration;

import dev.caroblb.configuration.teamfile.TeamFile;
import dev.caroblb.configuration.teamfile.TeamFileError;
import dev.caroblb.configuration.teamfile.TeamFileReader;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Files that an entry has received but not yet installed. */
final class FileStaging {
  private static final System.Logger LOGGER = System.getLogger(FileStaging.class.getName());

  private final ConfigurationCounters counters;
  private final Map<String, TeamFile> staged = new HashMap<>();
  private FileCursor cursor = FileCursor.after(0);

  FileStaging(ConfigurationCounters counters) {
    this.counters = counters;
  }

  /** Cursor after the files that the entry has installed or staged. */
  FileCursor cursor() {
    return cursor;
  }

  /** Discards the staged files and continues after the given installed number. */
  void restartAfter(long installed) {
    staged.clear();
    cursor = FileCursor.after(installed);
  }

  /**
   * Adds a chunk. Returns false if it does not start at the current cursor or a file is unreadable.
   */
  boolean add(FileChunk chunk) {
    if (!chunk.after().equals(cursor)) {
      counters.add(ConfigurationEvent.CHUNK_IGNORED);
      return false;
    }
    if (!addAll(chunk.files())) {
      counters.add(ConfigurationEvent.INSTALL_FAILED);
      return false;
    }
    cursor = chunk.next();
    return true;
  }

  boolean addAll(List<PublishedFile> files) {
    for (PublishedFile file : files) {
      Either<List<TeamFileError>, TeamFile> read = TeamFileReader.read(file.name(), file.text());
      if (read.isLeft()) {
        String line = InstallLog.unreadable(file.name(), read.getLeft().get(0));
        LOGGER.log(System.Logger.Level.ERROR, line);
        return false;
      }
      staged.put(file.name(), read.get());
    }
    return true;
  }

  /**
   * Whether the staged files may be installed under {@code number}, because none of them belongs to
   * a later publish.
   */
  boolean completeAt(long number) {
    return staged.isEmpty() || cursor.number() <= number;
  }

  Map<String, TeamFile> staged() {
    return staged;
  }
}
