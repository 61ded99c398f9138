package dev.caroblb.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of frames that arrive in parts, and of malformed bytes. */
class FramesTest {
  private static final Hello HELLO = new Hello("cluster", "entry-1", "7", "token");

  /** Feeds the bytes in parts of the given size and returns the frames without length prefix. */
  private static List<ByteBuffer> split(byte[] bytes, int partBytes) throws IOException {
    FrameSplitter splitter = new FrameSplitter();
    List<ByteBuffer> frames = new ArrayList<>();
    int position = 0;
    while (position < bytes.length) {
      ByteBuffer buffer = splitter.writable();
      int count = Math.min(Math.min(partBytes, bytes.length - position), buffer.remaining());
      buffer.put(bytes, position, count);
      position += count;
      Optional<ByteBuffer> frame = splitter.next();
      while (frame.isPresent()) {
        frames.add(frame.get());
        frame = splitter.next();
      }
    }
    return frames;
  }

  private static byte[] stream(List<Frame> frames) {
    int size = frames.stream().mapToInt(frame -> FrameCodec.encode(frame).remaining()).sum();
    ByteBuffer bytes = ByteBuffer.allocate(size);
    frames.forEach(frame -> bytes.put(FrameCodec.encode(frame)));
    return bytes.array();
  }

  @Nested
  class Splits {
    /** Guards against frames that are lost or merged when the network splits them. */
    @Test
    void everyPartSizeGivesTheSameFrames() throws IOException {
      List<Frame> sent =
          List.of(
              new Frame(Channel.MEMBERSHIP, Payload.empty()),
              new Frame(Channel.AGREEMENT, Payload.ofText("vote")),
              new Frame(Channel.IDEMPOTENCY, Payload.copyOf(new byte[300])));
      byte[] bytes = stream(sent);
      for (int partBytes = 1; partBytes <= bytes.length; partBytes++) {
        List<Frame> received = new ArrayList<>();
        for (ByteBuffer frame : split(bytes, partBytes)) {
          received.add(FrameCodec.decode(frame).orElseThrow());
        }
        assertEquals(sent, received, "parts of " + partBytes + " bytes");
      }
    }

    /** Guards against allocating memory for an announced frame length before its bytes arrive. */
    @Test
    void announcedLengthAllocatesNothing() throws IOException {
      FrameSplitter splitter = new FrameSplitter();
      splitter.writable().putInt(FrameCodec.MAX_FRAME_BYTES);
      assertEquals(Optional.empty(), splitter.next());
      assertTrue(splitter.writable().capacity() <= 8_192, "buffer grew without bytes");
    }

    /** Guards against accepting a frame length that is negative or over the limit. */
    @Test
    void lengthOutOfRangeIsRefused() {
      for (int length : new int[] {FrameCodec.MAX_FRAME_BYTES + 1, -1, Integer.MIN_VALUE}) {
        FrameSplitter splitter = new FrameSplitter();
        splitter.writable().putInt(length);
        assertThrows(IOException.class, splitter::next);
      }
    }
  }

  @Nested
  class HelloFrames {
    /** Guards against a hello field that is lost in encoding. */
    @Test
    void helloSurvivesARoundTrip() {
      ByteBuffer bytes = FrameCodec.encode(HELLO).position(FrameCodec.LENGTH_BYTES).slice();
      assertEquals(Optional.of(HELLO), FrameCodec.decodeHello(bytes));
    }

    /** Guards against an exception or an incomplete hello when the bytes are truncated. */
    @Test
    void truncatedHelloIsRejected() {
      byte[] bytes = FrameCodec.encode(HELLO).array();
      for (int end = FrameCodec.LENGTH_BYTES; end < bytes.length; end++) {
        ByteBuffer part = ByteBuffer.wrap(bytes, 4, end - FrameCodec.LENGTH_BYTES).slice();
        assertEquals(Optional.empty(), FrameCodec.decodeHello(part));
      }
    }

    /** Guards against allocating memory for an announced text length. */
    @Test
    void announcedTextLengthIsRefused() {
      ByteBuffer bytes = ByteBuffer.allocate(7).put((byte) 0x95).put((byte) 1).put((byte) 0xdb);
      bytes.putInt(Integer.MAX_VALUE).flip();
      assertEquals(Optional.empty(), FrameCodec.decodeHello(bytes));
    }

    /** Guards against allocating memory for an announced body length. */
    @Test
    void announcedBodyLengthIsRefused() {
      ByteBuffer bytes = ByteBuffer.allocate(8).put((byte) 0x93).put((byte) 1).put((byte) 1);
      bytes.put((byte) 0xc6).putInt(Integer.MAX_VALUE).flip();
      assertEquals(Optional.empty(), FrameCodec.decode(bytes));
    }
  }

  /** Guards against an unchecked exception on the transport thread for malformed bytes. */
  @Property(tries = 2_000, seed = "4712")
  void arbitraryBytesNeverThrow(@ForAll @Size(max = 200) byte[] bytes) {
    FrameCodec.decode(ByteBuffer.wrap(bytes));
    FrameCodec.decodeHello(ByteBuffer.wrap(bytes));
  }

  /**
   * Guards against an unchecked exception, or more frames than the bytes can hold, for any stream.
   */
  @Property(tries = 1_000, seed = "4713")
  void arbitraryStreamsGiveFramesOrTheDeclaredError(
      @ForAll @Size(max = 300) byte[] bytes, @ForAll @IntRange(min = 1, max = 50) int partBytes) {
    try {
      assertTrue(split(bytes, partBytes).size() <= bytes.length / FrameCodec.LENGTH_BYTES);
    } catch (IOException e) {
      assertTrue(e.getMessage().contains("out of range"), e.getMessage());
    }
  }
}
