package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.Member;
import dev.caroblb.agreement.Snapshot;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * Writes the log segments and snapshots of one group. Entries and votes form one stream of records,
 * so that after a crash the folder contains a prefix of what was written. The records of one append
 * are valid only as a whole.
 */
final class GroupLog implements Closeable {
  /** Size from which a new segment is started; bounds the time that recovery needs to read one. */
  static final long SEGMENT_BYTES = 4L << 20;

  /**
   * Largest append. A frame from another replica is at most 4 MiB, but a leader may append several
   * proposals at once.
   */
  static final int MAX_APPEND_BYTES = 64 << 20;

  private final FileAccess files;
  private final Path folder;
  private final GroupId group;
  private final String incarnation;
  private final SegmentList segments;
  private WritableFile active;
  private long activeBytes;
  private boolean dirty;
  private long term;
  private Optional<Member> votedFor;
  private long snapshotIndex;
  private long lastIndex;

  GroupLog(
      FileAccess files, Path folder, GroupId group, String incarnation, RecoveredFiles recovered)
      throws IOException {
    this.files = files;
    this.folder = folder;
    this.group = group;
    this.incarnation = incarnation;
    this.segments = recovered.segments();
    this.activeBytes = recovered.activeBytes();
    this.term = recovered.group().term();
    this.votedFor = recovered.group().votedFor();
    this.snapshotIndex = recovered.group().snapshot().map(Snapshot::lastIndex).orElse(0L);
    this.lastIndex = snapshotIndex + recovered.group().entries().size();
    this.active = files.open(segments.activeFile());
  }

  /** Writes the first segment of an empty group. */
  static void format(FileAccess files, Path folder, GroupId group, String incarnation)
      throws IOException {
    files.createFolder(folder);
    SegmentHeader header = new SegmentHeader(group, incarnation, 1, 0, Optional.empty());
    DurableFiles.writeDurably(
        files,
        folder.resolve(FileNames.segment(1, 1)),
        RecordCodec.encode(header.toRecord(), 1, 0));
  }

  /** Writes entries; existing entries from the first new index on are replaced. */
  void append(List<LogEntry> entries) throws IOException {
    if (entries.isEmpty()) {
      return;
    }
    long first = entries.get(0).index();
    checkIndexes(entries, first);
    boolean replaces = first <= lastIndex && segments.activeHasEntries();
    if (replaces || activeBytes >= SEGMENT_BYTES) {
      startSegment(first);
    }
    write(encode(entries));
    lastIndex = Math.max(snapshotIndex, first + entries.size() - 1);
    segments.appended(first, first + entries.size() - 1);
  }

  private void checkIndexes(List<LogEntry> entries, long first) {
    if (first < 1 || first > lastIndex + 1) {
      throw new IllegalArgumentException(
          "append at index " + first + " to group " + group + ", whose last index is " + lastIndex);
    }
    for (int i = 0; i < entries.size(); i++) {
      if (entries.get(i).index() != first + i) {
        throw new IllegalArgumentException(
            "append to group "
                + group
                + " has non-consecutive index "
                + entries.get(i).index()
                + " at position "
                + i
                + "; the first index is "
                + first);
      }
    }
  }

  private byte[] encode(List<LogEntry> entries) {
    long size = 0;
    for (LogEntry entry : entries) {
      size += RecordCodec.HEADER_BYTES + entry.payload().size();
    }
    if (size > MAX_APPEND_BYTES) {
      throw new IllegalArgumentException(
          "append of " + size + " bytes to group " + group + "; the limit is " + MAX_APPEND_BYTES);
    }
    byte[] bytes = new byte[(int) size];
    int position = 0;
    for (int i = 0; i < entries.size(); i++) {
      LogRecord record = LogRecord.ofEntry(entries.get(i), i == entries.size() - 1);
      position = RecordCodec.encode(record, segments.activeNumber(), activeBytes, bytes, position);
    }
    return bytes;
  }

  void saveVote(long newTerm, Optional<Member> newVote) throws IOException {
    byte[] payload = BinaryFields.bytes(out -> BinaryFields.writeVote(out, newVote));
    LogRecord record =
        new LogRecord(LogRecord.Type.VOTE, true, newTerm, 0, Payload.copyOf(payload));
    write(RecordCodec.encode(record, segments.activeNumber(), activeBytes));
    term = newTerm;
    votedFor = newVote;
  }

  /**
   * Stores a snapshot, unless the stored one is newer. Later entries go to a new segment, so that
   * the next snapshot makes all segments before it obsolete. Deletions are not synced, because
   * recovery ignores every segment before the one that the snapshot names.
   */
  void saveSnapshot(Snapshot snapshot, boolean keepLaterEntries) throws IOException {
    if (snapshot.lastIndex() < snapshotIndex) {
      return;
    }
    boolean keep = keepLaterEntries && snapshot.lastIndex() <= lastIndex;
    long nextIndex = keep ? lastIndex + 1 : snapshot.lastIndex() + 1;
    startSegment(nextIndex);
    long firstSegment =
        keep ? segments.firstNeededAfter(snapshot.lastIndex()) : segments.activeNumber();
    Path previous = folder.resolve(FileNames.snapshot(snapshotIndex));
    Path file = folder.resolve(FileNames.snapshot(snapshot.lastIndex()));
    byte[] bytes = new StoredSnapshot(group, incarnation, firstSegment, snapshot).encode();
    DurableFiles.writeDurably(files, file, bytes);
    snapshotIndex = snapshot.lastIndex();
    lastIndex = nextIndex - 1;
    if (!previous.equals(file)) {
      files.delete(previous);
    }
    for (Path obsolete : segments.removeBefore(firstSegment)) {
      files.delete(obsolete);
    }
  }

  /**
   * Starts a new segment. The active one is synced before, because only the last segment may end in
   * a torn record.
   */
  private void startSegment(long firstIndex) throws IOException {
    sync();
    active.close();
    long number = segments.activeNumber() + 1;
    Path file = folder.resolve(FileNames.segment(firstIndex, number));
    SegmentHeader header = new SegmentHeader(group, incarnation, firstIndex, term, votedFor);
    byte[] headerBytes = RecordCodec.encode(header.toRecord(), number, 0);
    DurableFiles.writeDurably(files, file, headerBytes);
    segments.opened(number, file);
    active = files.open(file);
    activeBytes = headerBytes.length;
  }

  private void write(byte[] bytes) throws IOException {
    active.write(bytes);
    activeBytes += bytes.length;
    dirty = true;
  }

  void sync() throws IOException {
    if (dirty) {
      active.sync();
      dirty = false;
    }
  }

  /** File that is currently written, for error messages. */
  Path activeFile() {
    return segments.activeFile();
  }

  @Override
  public void close() throws IOException {
    active.close();
  }
}
