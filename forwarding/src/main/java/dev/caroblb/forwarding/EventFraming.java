package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import java.io.ByteArrayOutputStream;
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

  private ByteArrayOutputStream buffer = new ByteArrayOutputStream(512);
  private int lineStart;
  private Optional<String> pendingId = Optional.empty();
  private Optional<String> lastEventId = Optional.empty();
  private long events;

  /** Appends a part and returns the bytes up to the end of the last complete event. */
  Payload add(Payload part) {
    byte[] bytes = part.toBytes();
    int completeEnd = -1;
    for (int i = 0; i < bytes.length; i++) {
      buffer.write(bytes[i]);
      if (bytes[i] == '\n' && endLine()) {
        completeEnd = buffer.size();
      }
    }
    return completeEnd < 0 ? Payload.empty() : split(completeEnd);
  }

  /** Processes the end of a line; returns true if it was the empty line that ends an event. */
  private boolean endLine() {
    byte[] all = buffer.toByteArray();
    int end = all.length - 1;
    if (end > lineStart && all[end - 1] == '\r') {
      end--;
    }
    boolean empty = end == lineStart;
    if (empty) {
      events++;
      lastEventId = pendingId.isPresent() ? pendingId : lastEventId;
      pendingId = Optional.empty();
    } else if (startsWithId(all, end)) {
      pendingId =
          Optional.of(
              new String(
                      all,
                      lineStart + ID_FIELD.length,
                      end - lineStart - ID_FIELD.length,
                      StandardCharsets.UTF_8)
                  .strip());
    }
    lineStart = all.length;
    return empty;
  }

  private boolean startsWithId(byte[] all, int end) {
    if (end - lineStart < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (all[lineStart + i] != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private Payload split(int completeEnd) {
    byte[] all = buffer.toByteArray();
    byte[] events = Arrays.copyOf(all, completeEnd);
    buffer = new ByteArrayOutputStream(512);
    buffer.write(all, completeEnd, all.length - completeEnd);
    lineStart -= completeEnd;
    return Payload.copyOf(events);
  }

  /** Discards an incomplete event. */
  void dropPartial() {
    buffer.reset();
    lineStart = 0;
    pendingId = Optional.empty();
  }

  /** Whether an incomplete event is buffered. */
  boolean hasPartialEvent() {
    return buffer.size() > 0;
  }

  boolean overLimit() {
    return buffer.size() > MAX_EVENT_BYTES;
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
