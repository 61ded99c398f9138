package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.ByteBuffer;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class BodyBufferTest {
  private final BodyBuffer buffer = new BodyBuffer();

  @Nested
  class Parts {
    /** Guards against bytes that are lost, or swapped, where a part fills a segment. */
    @Test
    void areKeptInOrder() {
      Random random = new Random(1);
      byte[] body = new byte[100_000];
      random.nextBytes(body);
      int added = 0;
      while (added < body.length) {
        int part = Math.min(body.length - added, 1 + random.nextInt(added % 3 == 0 ? 20_000 : 5));
        buffer.add(ByteBuffer.wrap(body, added, part));
        added += part;
      }
      assertEquals(body.length, buffer.size());
      assertArrayEquals(body, buffer.take().toBytes());
      assertEquals(0, buffer.size());
    }

    /** Guards against a buffer that changes, or keeps, the bytes of its caller. */
    @Test
    void areCopied() {
      byte[] part = {1, 2};
      buffer.add(ByteBuffer.wrap(part));
      part[0] = 9;
      assertArrayEquals(new byte[] {1, 2}, buffer.take().toBytes());
    }

    /** Guards against a body without bytes that is not empty. */
    @Test
    void mayBeEmpty() {
      buffer.add(ByteBuffer.allocate(0));
      assertEquals(0, buffer.take().size());
    }
  }
}
