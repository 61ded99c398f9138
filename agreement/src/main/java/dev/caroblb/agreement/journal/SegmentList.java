package dev.caroblb.agreement.journal;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Tracks which log entries each segment contains. Within a segment, indexes are consecutive;
 * entries are replaced only by entries in a later segment.
 */
final class SegmentList {
  private final List<Segment> segments = new ArrayList<>();

  /** A segment and the range of its entries that were not replaced; empty if first > last. */
  private static final class Segment {
    private final long number;
    private final Path file;
    private long first = 1;
    private long last;

    Segment(long number, Path file) {
      this.number = number;
      this.file = file;
    }

    boolean empty() {
      return first > last;
    }

    void truncateFrom(long index) {
      last = Math.min(last, index - 1);
    }
  }

  void opened(long number, Path file) {
    segments.add(new Segment(number, file));
  }

  long activeNumber() {
    return active().number;
  }

  Path activeFile() {
    return active().file;
  }

  boolean activeHasEntries() {
    return !active().empty();
  }

  /** Records that entries were written to the active segment. */
  void appended(long first, long last) {
    Segment active = active();
    for (Segment segment : segments) {
      if (segment != active) {
        segment.truncateFrom(first);
      }
    }
    if (active.empty()) {
      active.first = first;
    }
    active.last = last;
  }

  /**
   * Number of the first segment with entries after the index, or of the active segment if there is
   * none.
   */
  long firstNeededAfter(long index) {
    for (Segment segment : segments) {
      if (!segment.empty() && segment.last > index) {
        return segment.number;
      }
    }
    return activeNumber();
  }

  /** Removes and returns the files of the segments before the given one, oldest first. */
  List<Path> removeBefore(long number) {
    List<Path> files = new ArrayList<>();
    while (segments.get(0).number < number) {
      files.add(segments.remove(0).file);
    }
    return files;
  }

  private Segment active() {
    return segments.get(segments.size() - 1);
  }
}
