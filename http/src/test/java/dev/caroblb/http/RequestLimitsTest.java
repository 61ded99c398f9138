package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests limits that change while the listener runs. */
class RequestLimitsTest {
  private static final int WAIT_MS = 10_000;
  private static final long LONG_MS = 60_000;
  private static final RequestLimits WIDE = new RequestLimits(4_096, 1_024, LONG_MS, LONG_MS);

  private final LinkedBlockingQueue<Integer> rejected = new LinkedBlockingQueue<>();
  private volatile RequestLimits limits = WIDE;
  private HttpListener listener;

  @BeforeEach
  void listen() throws IOException {
    listener =
        HttpListener.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            HttpLimits.DEFAULTS,
            () -> limits,
            (request, reply) -> reply.send(200, "text/plain", request.body(), Map.of()),
            rejected::add);
  }

  @AfterEach
  void stop() {
    listener.close();
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setSoTimeout(WAIT_MS);
    socket.connect(listener.address(), WAIT_MS);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Sends a request and returns the status code of its response. */
  private static String status(Socket socket, String request) throws IOException {
    write(socket, request);
    byte[] line = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
    return new String(line, StandardCharsets.US_ASCII).substring("HTTP/1.1 ".length());
  }

  private String statusOf(String request) throws IOException {
    try (Socket socket = connect()) {
      return status(socket, request);
    }
  }

  private static String requestWithBody(int bytes) {
    return "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: "
        + bytes
        + "\r\n\r\n"
        + "b".repeat(bytes);
  }

  private static String requestWithHeader(int bytes) {
    return "GET /x HTTP/1.1\r\nHost: a\r\nX-Filler: " + "f".repeat(bytes) + "\r\n\r\n";
  }

  private static void assertClosed(Socket socket) throws IOException {
    int next;
    try {
      do {
        next = socket.getInputStream().read();
      } while (next >= 0);
    } catch (SocketException e) {
      return;
    }
    assertEquals(-1, next);
  }

  @Nested
  class Sizes {
    /** Guards against a limit of the configuration that takes effect only after a restart. */
    @Test
    void ofBodiesFollowAChange() throws Exception {
      assertEquals("200", statusOf(requestWithBody(1_000)));
      limits = new RequestLimits(4_096, 500, LONG_MS, LONG_MS);
      assertEquals("413", statusOf(requestWithBody(1_000)));
      assertEquals("200", statusOf(requestWithBody(400)));
      assertEquals(413, rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
    }

    /** Guards against a limit of the configuration that takes effect only after a restart. */
    @Test
    void ofHeadsFollowAChange() throws Exception {
      assertEquals("200", statusOf(requestWithHeader(2_000)));
      limits = new RequestLimits(1_000, 1_024, LONG_MS, LONG_MS);
      assertEquals("431", statusOf(requestWithHeader(2_000)));
      assertEquals("200", statusOf(requestWithHeader(500)));
      assertEquals(431, rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
    }
  }

  @Nested
  class HeadOverItsLimit {
    /** Guards against long fields, each within its limit, that are collected up to their number. */
    @Test
    void isRejectedBeforeItsEnd() throws Exception {
      limits = new RequestLimits(16_384, 1_024, LONG_MS, LONG_MS);
      String field = "X-Filler: " + "f".repeat(15_000) + "\r\n";
      assertEquals("431", statusOf("GET /x HTTP/1.1\r\nHost: a\r\n" + field.repeat(2)));
      assertEquals(431, rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
    }
  }

  @Nested
  class Times {
    private static final long SHORT_MS = 300;

    /** Guards against connections that are held by a head which arrives byte by byte. */
    @Test
    void ofATricklingHeadAreBounded() throws Exception {
      limits = new RequestLimits(4_096, 1_024, SHORT_MS, LONG_MS);
      try (Socket socket = connect()) {
        long startedNanos = System.nanoTime();
        try {
          while (System.nanoTime() - startedNanos < TimeUnit.MILLISECONDS.toNanos(WAIT_MS)) {
            write(socket, "G");
            TimeUnit.MILLISECONDS.sleep(SHORT_MS / 6);
          }
        } catch (IOException e) {
          // The listener has closed the connection.
          assertNotNull(e.getMessage());
        }
        assertTrue(
            System.nanoTime() - startedNanos < TimeUnit.MILLISECONDS.toNanos(WAIT_MS),
            "the connection is still open");
      }
      assertNotNull(rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS), "the rejection is not counted");
    }

    /** Guards against connections that are held by a head of which nothing more arrives. */
    @Test
    void ofASilentHeadAreBounded() throws Exception {
      limits = new RequestLimits(4_096, 1_024, SHORT_MS, LONG_MS);
      try (Socket socket = connect()) {
        write(socket, "GET /x HTT");
        assertClosed(socket);
      }
    }

    /** Guards against an idle limit of the configuration that takes effect after a restart. */
    @Test
    void ofIdleConnectionsFollowAChange() throws Exception {
      try (Socket socket = connect()) {
        assertEquals("200", status(socket, requestWithBody(1)));
        limits = new RequestLimits(4_096, 1_024, SHORT_MS, SHORT_MS);
        write(socket, requestWithBody(1));
        assertClosed(socket);
      }
    }

    /** Guards against a request in progress that is cut by the limits of idle connections. */
    @Test
    void doNotApplyToABodyThatArrivesSlowly() throws Exception {
      limits = new RequestLimits(4_096, 1_024, SHORT_MS, SHORT_MS);
      try (Socket socket = connect()) {
        write(socket, "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
        TimeUnit.MILLISECONDS.sleep(2 * SHORT_MS);
        assertEquals("200", status(socket, "cd"));
      }
    }
  }
}
