package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests of which a part never ends. */
class EndlessRequestTest {
  private static final int TIMEOUT_MS = 10_000;
  private static final int BLOCK_BYTES = 16_384;

  /** Beyond the limits of the listener, as much as socket buffers of this system hold. */
  private static final long MAX_BYTES = 32 << 20;

  private static final String HEAD = "POST / HTTP/1.1\r\nHost: h\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  private final AtomicInteger handled = new AtomicInteger();
  private HttpListener listener;

  @BeforeEach
  void listen() throws IOException {
    listener =
        HttpListener.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            HttpLimits.DEFAULTS,
            (request, reply) -> {
              handled.incrementAndGet();
              reply.send(200, "text/plain", Payload.ofText("ok"), Map.of());
            },
            status -> {});
  }

  @AfterEach
  void stop() {
    listener.close();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(listener.address().getAddress(), listener.address().getPort());
    socket.setSoTimeout(TIMEOUT_MS);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Sends a request without end; returns whether the listener closed the connection. */
  private boolean closesConnection(String start, String repeated) throws IOException {
    String block = repeated.repeat(BLOCK_BYTES / repeated.length());
    try (Socket socket = connect()) {
      write(socket, start);
      for (long bytes = 0; bytes < MAX_BYTES; bytes += block.length()) {
        write(socket, block);
      }
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  private void assertRejected(String start, String repeated) throws IOException {
    assertTrue(closesConnection(start, repeated), "read without end: " + start + repeated);
    assertEquals(0, handled.get());
    try (Socket socket = connect()) {
      write(socket, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
      String line = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
      assertEquals("HTTP/1.1 200", line);
    }
    handled.set(0);
  }

  @Nested
  class Head {
    /** Guards against a head that fills the memory or is read for ever. */
    @Test
    void isBounded() throws IOException {
      assertRejected("GET /", "x");
      assertRejected(HEAD + "A: ", "x");
      assertRejected(HEAD + "A: b\r\n", " folded\r\n");
      assertRejected(HEAD, "A: b\r\n");
      assertRejected("", "\r\n");
      assertRejected("", "\u0001");
    }
  }

  @Nested
  class ChunkedBody {
    /** Guards against chunk headers and trailers that fill the memory. */
    @Test
    void hasBoundedLines() throws IOException {
      assertRejected(CHUNKED, "0");
      assertRejected(CHUNKED + "5;", "x");
      assertRejected(CHUNKED + "0\r\nA: ", "x");
      assertRejected(CHUNKED + "0\r\n", "A: b\r\n");
    }

    /** Guards against a connection that is read for ever. */
    @Test
    void isBounded() throws IOException {
      assertRejected(CHUNKED, "4\r\nbody\r\n");
    }
  }
}
