package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits an event stream after complete events, so that a stream can resume at an event boundary on
 * another target. The bytes are not changed.
 */
final class EventFraming {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.UTF_8);

  /** Limit that keeps a faulty target from exhausting memory; a larger event fails the attempt. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private static final int INITIAL_BYTES = 512;

  private byte[] buffer = new byte[INITIAL_BYTES];
  private int size;
  private int lineStart;
  private Optional<String> pendingId = Optional.empty();
  private Optional<String> lastEventId = Optional.empty();
  private long events;

  /** Appends a part and returns the bytes up to the end of the last complete event. */
  Payload add(Payload part) {
    byte[] bytes = part.toBytes();
    reserve(bytes.length);
    int completeEnd = -1;
    for (byte next : bytes) {
      buffer[size] = next;
      size++;
      if (next == '\n' && endLine()) {
        completeEnd = size;
      }
    }
    return completeEnd < 0 ? Payload.empty() : split(completeEnd);
  }

  private void reserve(int bytes) {
    if (size + bytes > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(size + bytes, 2 * buffer.length));
    }
  }

  /**
   * Processes the end of a line; returns true if it was the empty line that ends an event. Reads
   * the buffer in place: copying it for each line took over 10 s for one event of short lines.
   */
  private boolean endLine() {
    int end = size - 1;
    if (end > lineStart && buffer[end - 1] == '\r') {
      end--;
    }
    boolean empty = end == lineStart;
    if (empty) {
      events++;
      lastEventId = pendingId.isPresent() ? pendingId : lastEventId;
      pendingId = Optional.empty();
    } else if (startsWithId(end)) {
      pendingId =
          Optional.of(
              new String(
                      buffer,
                      lineStart + ID_FIELD.length,
                      end - lineStart - ID_FIELD.length,
                      StandardCharsets.UTF_8)
                  .strip());
    }
    lineStart = size;
    return empty;
  }

  private boolean startsWithId(int end) {
    if (end - lineStart < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (buffer[lineStart + i] != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private Payload split(int completeEnd) {
    byte[] events = Arrays.copyOf(buffer, completeEnd);
    int rest = size - completeEnd;
    byte[] next = new byte[Math.max(rest, INITIAL_BYTES)];
    System.arraycopy(buffer, completeEnd, next, 0, rest);
    buffer = next;
    size = rest;
    lineStart -= completeEnd;
    return Payload.copyOf(events);
  }

  /** Discards an incomplete event. */
  void dropPartial() {
    if (buffer.length > INITIAL_BYTES) {
      buffer = new byte[INITIAL_BYTES];
    }
    size = 0;
    lineStart = 0;
    pendingId = Optional.empty();
  }

  /** Whether an incomplete event is buffered. */
  boolean hasPartialEvent() {
    return size > 0;
  }

  /** Number of bytes of memory that the buffer uses. */
  int capacity() {
    return buffer.length;
  }

  boolean overLimit() {
    return size > MAX_EVENT_BYTES;
  }

  /** Number of complete events. */
  long events() {
    return events;
  }

  /** The ID of the last complete event that had one. */
  Optional<String> lastEventId() {
    return lastEventId;
  }
}
