package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.Snapshot;
import dev.caroblb.agreement.journal.JournalError.Kind;
import dev.caroblb.core.GroupId;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Reads the folder of one group at a start and removes files that a crash left behind. What is read
 * may not be synced: the previous process may have ended before its sync. It is synced here, since
 * the replica counts recovered entries and votes as stored.
 */
final class GroupRecovery {
  /** Largest segment that {@link GroupLog} can write, with room for the header. */
  private static final long MAX_SEGMENT_BYTES =
      GroupLog.SEGMENT_BYTES + GroupLog.MAX_APPEND_BYTES + 4_096;

  /** Limits the memory that a damaged or foreign file can use. */
  private static final long MAX_SNAPSHOT_BYTES = 512L << 20;

  private final FileAccess files;
  private final Path folder;
  private final GroupId group;
  private final String incarnation;

  GroupRecovery(FileAccess files, Path folder, GroupId group, String incarnation) {
    this.files = files;
    this.folder = folder;
    this.group = group;
    this.incarnation = incarnation;
  }

  RecoveredFiles recover() throws JournalException, IOException {
    List<String> names = files.list(folder);
    Optional<StoredSnapshot> stored = readSnapshot(names);
    NavigableMap<Long, Path> segments = segments(names, stored);
    long first = stored.map(StoredSnapshot::firstSegment).orElse(1L);
    LogReplay replay = new LogReplay(group, incarnation, stored.map(StoredSnapshot::snapshot));
    long activeBytes = 0;
    for (var segment : segments.tailMap(first).entrySet()) {
      boolean last = segment.getKey().equals(segments.lastKey());
      byte[] bytes = readSegment(segment.getValue());
      int intact = replay.replay(segment.getValue(), segment.getKey(), bytes, last);
      if (last) {
        syncIntact(segment.getValue(), intact, bytes.length);
      }
      activeBytes = intact;
    }
    files.syncFolder(folder);
    removeLeftovers(names, stored, List.copyOf(segments.headMap(first).values()));
    return replay.result(activeBytes);
  }

  private Optional<StoredSnapshot> readSnapshot(List<String> names)
      throws JournalException, IOException {
    Optional<Long> newest =
        names.stream()
            .map(FileNames::snapshotIndex)
            .flatMap(Optional::stream)
            .max(Comparator.naturalOrder());
    if (newest.isEmpty()) {
      return Optional.empty();
    }
    Path file = folder.resolve(FileNames.snapshot(newest.get()));
    checkSize(Kind.BAD_SNAPSHOT, file, MAX_SNAPSHOT_BYTES);
    StoredSnapshot stored =
        StoredSnapshot.decode(files.read(file))
            .orElseThrow(
                () -> new JournalException(Kind.BAD_SNAPSHOT, file, 0, "snapshot is damaged"));
    Snapshot snapshot = stored.snapshot();
    if (!stored.group().equals(group)
        || !stored.incarnation().equals(incarnation)
        || snapshot.lastIndex() != newest.get()) {
      throw new JournalException(
          Kind.BAD_SNAPSHOT,
          file,
          0,
          "file contains snapshot "
              + snapshot.lastIndex()
              + " of group "
              + stored.group()
              + " with incarnation "
              + stored.incarnation()
              + ", expected group "
              + group
              + " with incarnation "
              + incarnation);
    }
    return Optional.of(stored);
  }

  /** Returns the segments by number. No number may be missing from the first needed one on. */
  private NavigableMap<Long, Path> segments(List<String> names, Optional<StoredSnapshot> stored)
      throws JournalException {
    NavigableMap<Long, Path> segments = new TreeMap<>();
    for (String name : names) {
      Optional<Long> number = FileNames.segmentNumber(name);
      if (number.isPresent() && segments.put(number.get(), folder.resolve(name)) != null) {
        throw new JournalException(
            Kind.GAP, folder.resolve(name), 0, "more than one segment has number " + number.get());
      }
    }
    long expected = stored.map(StoredSnapshot::firstSegment).orElse(1L);
    if (!segments.containsKey(expected)) {
      throw new JournalException(
          Kind.GAP,
          folder,
          0,
          "segment "
              + expected
              + " is missing"
              + (stored.isPresent() ? " after the snapshot" : " and there is no snapshot"));
    }
    for (long number : segments.tailMap(expected).keySet()) {
      if (number != expected) {
        throw new JournalException(Kind.GAP, folder, 0, "segment " + expected + " is missing");
      }
      expected++;
    }
    return segments;
  }

  private byte[] readSegment(Path file) throws JournalException, IOException {
    checkSize(Kind.BAD_RECORD, file, MAX_SEGMENT_BYTES);
    return files.read(file);
  }

  private void checkSize(Kind kind, Path file, long max) throws JournalException, IOException {
    long size = files.size(file).orElse(0L);
    if (size > max) {
      throw new JournalException(
          kind, file, max, "file has " + size + " bytes, at most " + max + " are expected");
    }
  }

  /** Truncates the last segment to its intact part and syncs it; earlier ones are synced. */
  private void syncIntact(Path file, long intact, long size) throws IOException {
    try (WritableFile opened = files.open(file)) {
      if (intact < size) {
        opened.truncate(intact);
      }
      opened.sync();
    }
  }

  /**
   * Removes files that are no longer needed. Deletions are not synced: files that reappear after a
   * crash are ignored and removed again.
   */
  private void removeLeftovers(
      List<String> names, Optional<StoredSnapshot> stored, List<Path> oldSegments)
      throws IOException {
    for (String name : names) {
      Optional<Long> index = FileNames.snapshotIndex(name);
      boolean oldSnapshot =
          index.isPresent() && index.get() < stored.orElseThrow().snapshot().lastIndex();
      if (oldSnapshot || name.endsWith(FileNames.TEMPORARY_SUFFIX)) {
        files.delete(folder.resolve(name));
      }
    }
    for (Path segment : oldSegments) {
      files.delete(segment);
    }
  }
}
