package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Bytes of a body in arrival order. Parts share segments, so that the memory in use does not depend
 * on the size of the parts: a buffer for each chunk of one byte would take some hundred bytes. Not
 * thread-safe.
 */
final class BodyBuffer {
  private static final int MIN_SEGMENT_BYTES = 512;

  /** The last segment may be empty but for a byte; the memory account does not count the rest. */
  private static final int MAX_SEGMENT_BYTES = 8_192;

  private final List<ByteBuffer> full = new ArrayList<>();
  private ByteBuffer last = ByteBuffer.allocate(0);
  private int size;

  int size() {
    return size;
  }

  /** Takes the remaining bytes of a part. */
  void add(ByteBuffer part) {
    size += part.remaining();
    while (part.hasRemaining()) {
      if (!last.hasRemaining()) {
        addSegment(part.remaining());
      }
      int count = Math.min(last.remaining(), part.remaining());
      last.put(last.position(), part, part.position(), count);
      last.position(last.position() + count);
      part.position(part.position() + count);
    }
  }

  private void addSegment(int neededBytes) {
    int grown = Math.min(MAX_SEGMENT_BYTES, Math.max(MIN_SEGMENT_BYTES, 2 * last.capacity()));
    if (last.position() > 0) {
      full.add(last.flip());
    }
    last = ByteBuffer.allocate(Math.max(grown, neededBytes));
  }

  /** Copies the bytes into one payload, and forgets them. */
  Payload take() {
    List<ByteBuffer> segments = new ArrayList<>(full);
    segments.add(last.flip());
    clear();
    return Payload.concat(segments);
  }

  void clear() {
    full.clear();
    last = ByteBuffer.allocate(0);
    size = 0;
  }
}
