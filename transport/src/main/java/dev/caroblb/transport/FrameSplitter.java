package dev.caroblb.transport;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;

/** Splits a received byte stream into frames by their length prefixes. */
final class FrameSplitter {
  private static final int INITIAL_BYTES = 8_192;

  private ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BYTES);

  /** Returns the buffer to read received bytes into; it always has free space. */
  ByteBuffer writable() {
    if (!buffer.hasRemaining()) {
      ByteBuffer larger = ByteBuffer.allocate(buffer.capacity() * 2);
      buffer.flip();
      larger.put(buffer);
      buffer = larger;
    }
    return buffer;
  }

  /** Returns the next frame if it was received completely, as a copy without the length prefix. */
  Optional<ByteBuffer> next() throws IOException {
    if (buffer.position() < FrameCodec.LENGTH_BYTES) {
      return Optional.empty();
    }
    int length = buffer.getInt(0);
    if (length < 0 || length > FrameCodec.MAX_FRAME_BYTES) {
      throw new IOException("frame length " + length + " is out of range");
    }
    int end = FrameCodec.LENGTH_BYTES + length;
    if (buffer.position() < end) {
      return Optional.empty();
    }
    byte[] frame = new byte[length];
    buffer.flip();
    buffer.position(FrameCodec.LENGTH_BYTES);
    buffer.get(frame);
    buffer.compact();
    return Optional.of(ByteBuffer.wrap(frame));
  }
}
