package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Responses after which the listener closes the connection. */
class ClosingConnectionTest {
  private static final int WAIT_MS = 10_000;
  private static final int READ_BYTES = 128 << 10;
  private static final long READ_INTERVAL_MS = 300;

  /** More than the system buffers for a connection. */
  private static final int BODY_BYTES = 4_000_000;

  private static final List<HeaderField> CLOSE = List.of(new HeaderField("Connection", "close"));

  private volatile List<HeaderField> fields = List.of();
  private HttpListener listener;

  @BeforeEach
  void listen() throws IOException {
    listener =
        HttpListener.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            HttpLimits.DEFAULTS,
            (request, reply) -> reply.send(200, fields, Payload.copyOf(new byte[BODY_BYTES])),
            status -> {});
  }

  @AfterEach
  void stop() {
    listener.close();
  }

  /** Requests a response, reads it slowly, and returns the number of bytes that arrived. */
  private long readSlowly() throws Exception {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(READ_BYTES);
      socket.setSoTimeout(WAIT_MS);
      socket.connect(listener.address(), WAIT_MS);
      socket
          .getOutputStream()
          .write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      return read(socket);
    }
  }

  private static long read(Socket socket) throws Exception {
    long total = 0;
    byte[] part = new byte[READ_BYTES];
    try {
      while (total < BODY_BYTES) {
        int wanted = (int) Math.min(part.length, BODY_BYTES - total);
        int count = socket.getInputStream().readNBytes(part, 0, wanted);
        if (count == 0) {
          return total;
        }
        total += count;
        Thread.sleep(READ_INTERVAL_MS);
      }
    } catch (SocketException e) {
      return total;
    }
    return total;
  }

  @Nested
  class SlowReader {
    private void assertComplete() throws Exception {
      long read = readSlowly();
      assertTrue(read >= BODY_BYTES, () -> "the connection ended after " + read + " bytes");
    }

    /** Guards against a reset while a caller still reads the last response of its connection. */
    @Test
    void getsTheLastResponseOfAConnection() throws Exception {
      fields = CLOSE;
      assertComplete();
    }

    /** Guards against a reset while a caller still reads a response on a kept connection. */
    @Test
    void getsAResponseOnAKeptConnection() throws Exception {
      assertComplete();
    }
  }
}
