package dev.caroblb.forwarding;

import dev.caroblb.core.Payload;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** Body of a response that is not complete yet. Grows without copies of what it holds. */
final class ResponseBuffer {
  /** Maximum size of a response that is buffered until it is complete. */
  private static final int MAX_BYTES = 4 << 20;

  private static final int MIN_BLOCK_BYTES = 1_024;
  private static final int MAX_BLOCK_BYTES = 65_536;

  private final List<ByteBuffer> blocks = new ArrayList<>();
  private int size;
  private int capacity;

  /** Appends a part; returns false if the response grew too large. */
  boolean add(Payload part) {
    ByteBuffer bytes = part.buffer();
    while (bytes.hasRemaining()) {
      ByteBuffer block = writableBlock();
      int count = Math.min(block.remaining(), bytes.remaining());
      block.put(bytes.slice().limit(count));
      bytes.position(bytes.position() + count);
      size += count;
    }
    return size <= MAX_BYTES;
  }

  private ByteBuffer writableBlock() {
    if (!blocks.isEmpty() && blocks.get(blocks.size() - 1).hasRemaining()) {
      return blocks.get(blocks.size() - 1);
    }
    ByteBuffer block =
        ByteBuffer.allocate(Math.max(MIN_BLOCK_BYTES, Math.min(capacity, MAX_BLOCK_BYTES)));
    blocks.add(block);
    capacity += block.capacity();
    return block;
  }

  /** Number of bytes of memory that the buffer uses. */
  int capacity() {
    return capacity;
  }

  void clear() {
    blocks.clear();
    size = 0;
    capacity = 0;
  }

  /** The contents; the buffer must not be changed afterwards. */
  Payload contents() {
    return Payload.concat(blocks.stream().map(block -> block.duplicate().flip()).toList());
  }
}
