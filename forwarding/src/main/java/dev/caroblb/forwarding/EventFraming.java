package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;

/**
 * Divides the bytes of an event stream after whole events, so that a stream which goes on at
 * another target continues where an event began. The bytes themselves stay as they are.
 */
final class EventFraming {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.UTF_8);

  /** An event larger than this ends the stream, so that a faulty target cannot exhaust memory. */
  private static final int MAX_EVENT_BYTES = 1 << 20;

  private ByteArrayOutputStream open = new ByteArrayOutputStream(512);
  private int lineStart;
  private Optional<String> openId = Optional.empty();
  private Optional<String> lastEventId = Optional.empty();

  /** Takes a part and returns the bytes up to the end of the last whole event. */
  Payload add(Payload part) {
    byte[] bytes = part.toBytes();
    int whole = -1;
    for (int i = 0; i < bytes.length; i++) {
      open.write(bytes[i]);
      if (bytes[i] == '\n' && endLine()) {
        whole = open.size();
      }
    }
    return whole < 0 ? Payload.empty() : split(whole);
  }

  /** Ends a line; true when it was the empty one that ends an event. */
  private boolean endLine() {
    byte[] all = open.toByteArray();
    int end = all.length - 1;
    if (end > lineStart && all[end - 1] == '\r') {
      end--;
    }
    boolean empty = end == lineStart;
    if (empty) {
      lastEventId = openId.isPresent() ? openId : lastEventId;
      openId = Optional.empty();
    } else if (startsWithId(all, end)) {
      openId =
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

  private Payload split(int whole) {
    byte[] all = open.toByteArray();
    byte[] events = Arrays.copyOf(all, whole);
    open = new ByteArrayOutputStream(512);
    open.write(all, whole, all.length - whole);
    lineStart -= whole;
    return Payload.copyOf(events);
  }

  /** Forgets an event whose end did not come. */
  void dropPartial() {
    open.reset();
    lineStart = 0;
    openId = Optional.empty();
  }

  /** Whether an event began whose end has not come. */
  boolean partial() {
    return open.size() > 0;
  }

  boolean overLimit() {
    return open.size() > MAX_EVENT_BYTES;
  }

  /** The id of the last whole event. */
  Optional<String> lastEventId() {
    return lastEventId;
  }
}
