package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.Member;
import dev.caroblb.agreement.RecoveredGroup;
import dev.caroblb.agreement.Snapshot;
import dev.caroblb.agreement.journal.JournalError.Kind;
import dev.caroblb.core.GroupId;
import java.nio.BufferUnderflowException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Rebuilds the state of a group from its segments, which are replayed in the order of their
 * numbers.
 */
final class LogReplay {
  private final GroupId group;
  private final String incarnation;
  private final Optional<Snapshot> snapshot;
  private final long snapshotIndex;
  private final SegmentList segments = new SegmentList();
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<LogEntry> pending = new ArrayList<>();
  private long term;
  private Optional<Member> votedFor = Optional.empty();

  LogReplay(GroupId group, String incarnation, Optional<Snapshot> snapshot) {
    this.group = group;
    this.incarnation = incarnation;
    this.snapshot = snapshot;
    this.snapshotIndex = snapshot.map(Snapshot::lastIndex).orElse(0L);
  }

  /**
   * Replays one segment and returns the size of its intact part in bytes.
   *
   * @param lastSegment whether this is the last segment, the only one that may end in a torn record
   */
  int replay(Path file, long number, byte[] bytes, boolean lastSegment) throws JournalException {
    LogRecord first =
        RecordCodec.decode(bytes, 0, number)
            .orElseThrow(
                () -> new JournalException(Kind.BAD_RECORD, file, 0, "invalid segment header"));
    readHeader(file, first);
    segments.opened(number, file);
    int offset = RecordCodec.size(first);
    int intact = offset;
    while (offset < bytes.length) {
      Optional<LogRecord> record = RecordCodec.decode(bytes, offset, number);
      if (record.isEmpty()) {
        rejectUnlessTorn(file, number, bytes, offset, lastSegment);
        break;
      }
      apply(file, offset, record.get());
      offset += RecordCodec.size(record.get());
      if (pending.isEmpty()) {
        intact = offset;
      }
    }
    if (intact < bytes.length && !lastSegment) {
      throw new JournalException(
          Kind.BAD_RECORD, file, intact, "incomplete append in a segment that is not the last one");
    }
    pending.clear();
    return intact;
  }

  private void readHeader(Path file, LogRecord record) throws JournalException {
    SegmentHeader header =
        SegmentHeader.of(record)
            .orElseThrow(
                () -> new JournalException(Kind.BAD_RECORD, file, 0, "invalid segment header"));
    if (!header.group().equals(group) || !header.incarnation().equals(incarnation)) {
      throw new JournalException(
          Kind.BAD_RECORD,
          file,
          0,
          "segment belongs to group "
              + header.group()
              + " with incarnation "
              + header.incarnation()
              + ", expected group "
              + group
              + " with incarnation "
              + incarnation);
    }
    term = header.term();
    votedFor = header.votedFor();
  }

  private static void rejectUnlessTorn(
      Path file, long number, byte[] bytes, int offset, boolean lastSegment)
      throws JournalException {
    if (!lastSegment) {
      throw new JournalException(
          Kind.BAD_RECORD, file, offset, "invalid record in a segment that is not the last one");
    }
    for (int later = offset + 1; later <= bytes.length - RecordCodec.HEADER_BYTES; later++) {
      if (RecordCodec.decode(bytes, later, number).isPresent()) {
        throw new JournalException(
            Kind.BAD_RECORD,
            file,
            offset,
            "invalid record followed by a valid one at byte " + later);
      }
    }
  }

  private void apply(Path file, int offset, LogRecord record) throws JournalException {
    Optional<LogEntry> entry = record.entry();
    if (entry.isPresent()) {
      applyEntry(file, offset, entry.get(), record.endsAppend());
      return;
    }
    if (record.type() != LogRecord.Type.VOTE || !pending.isEmpty()) {
      throw new JournalException(
          Kind.BAD_RECORD, file, offset, "unexpected record of type " + record.type());
    }
    term = record.term();
    votedFor =
        decodeVote(record)
            .orElseThrow(() -> new JournalException(Kind.BAD_RECORD, file, offset, "invalid vote"));
  }

  private static Optional<Optional<Member>> decodeVote(LogRecord record) {
    try {
      return Optional.of(BinaryFields.readVote(record.payload().buffer()));
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private void applyEntry(Path file, int offset, LogEntry entry, boolean endsAppend)
      throws JournalException {
    long maxIndex = pending.isEmpty() ? lastIndex() + 1 : pendingLast() + 1;
    boolean continuesAppend = pending.isEmpty() || entry.index() == maxIndex;
    if (entry.index() < 1 || entry.index() > maxIndex || !continuesAppend) {
      throw new JournalException(
          Kind.GAP,
          file,
          offset,
          "unexpected entry " + entry.index() + "; the next index is at most " + maxIndex);
    }
    pending.add(entry);
    if (endsAppend) {
      applyPending();
    }
  }

  private void applyPending() {
    long first = pending.get(0).index();
    int keep = (int) Math.max(0, Math.min(entries.size(), first - snapshotIndex - 1));
    entries.subList(keep, entries.size()).clear();
    for (LogEntry entry : pending) {
      if (entry.index() > snapshotIndex) {
        entries.add(entry);
      }
    }
    segments.appended(first, pendingLast());
    pending.clear();
  }

  private long lastIndex() {
    return snapshotIndex + entries.size();
  }

  private long pendingLast() {
    return pending.get(pending.size() - 1).index();
  }

  RecoveredFiles result(long activeBytes) {
    return new RecoveredFiles(
        new RecoveredGroup(term, votedFor, snapshot, entries), segments, activeBytes);
  }
}
