package dev.caroblb.http;

import dev.caroblb.core.MemoryAccount;
import dev.caroblb.core.Payload;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/** Response bytes that are not written yet, counted in the memory account. Not thread-safe. */
final class OutputQueue {
  private final MemoryAccount account;
  private final ArrayDeque<ByteBuffer> parts = new ArrayDeque<>();
  private int bytes;

  OutputQueue(MemoryAccount account) {
    this.account = account;
  }

  int bytes() {
    return bytes;
  }

  boolean isEmpty() {
    return parts.isEmpty();
  }

  void add(Payload part) {
    parts.add(part.buffer());
    bytes += part.size();
    account.take(part.size());
  }

  /** Writes as much as the connection takes, and asks to be called again for the rest. */
  void writeTo(DataStreamChannel channel) throws IOException {
    while (!parts.isEmpty()) {
      ByteBuffer next = parts.peekFirst();
      int written = channel.write(next);
      bytes -= written;
      account.release(written);
      if (next.hasRemaining()) {
        channel.requestOutput();
        return;
      }
      parts.removeFirst();
    }
  }

  void clear() {
    parts.clear();
    account.release(bytes);
    bytes = 0;
  }
}
