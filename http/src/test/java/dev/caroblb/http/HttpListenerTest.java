package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of the listener with raw connections: malformed requests, disconnects and slow readers. */
class HttpListenerTest extends ListenerFixture {
  private final LinkedBlockingQueue<Reply> streams = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
  private final LinkedBlockingQueue<String> disconnected = new LinkedBlockingQueue<>();

  @Override
  void respond(IncomingRequest request, Reply reply) {
    if (request.path().equals("/stream")) {
      reply.startStream(200, "text/event-stream", Map.of());
      streams.add(reply);
      return;
    }
    if (request.path().equals("/overflow")) {
      throw new StackOverflowError("faulty request");
    }
    if (request.path().equals("/wait")) {
      reply.onDisconnect(() -> disconnected.add(request.path()));
      received.add(request.path());
      return;
    }
    reply.send(200, "text/plain", request.body(), Map.of());
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.setSoTimeout(WAIT_MS);
    socket.connect(listener.address(), WAIT_MS);
    return socket;
  }

  /**
   * Sends a request on its own connection and returns the status line; empty if the connection was
   * closed.
   */
  private String statusOf(String request) throws IOException {
    try (Socket socket = connect()) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return firstLine(socket);
    }
  }

  private static String firstLine(Socket socket) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = socket.getInputStream().read();
    while (next >= 0 && next != '\r') {
      line.append((char) next);
      next = socket.getInputStream().read();
    }
    return line.toString();
  }

  private void assertRefused(String request) throws Exception {
    String status = statusOf(request);
    assertTrue(status.isEmpty() || status.startsWith("HTTP/1.1 4"), status);
    assertNotNull(rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS), "the refusal is not counted");
    assertServed();
    assertEquals(0, rejected.size(), "the refusal is counted twice");
  }

  private void assertServed() throws IOException {
    assertEquals(
        "HTTP/1.1 200 OK", statusOf("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"));
  }

  @Nested
  class FaultyHandler {
    /** Guards against one request that ends the listener for all callers. */
    @Test
    void leavesOtherConnectionsServed() throws Exception {
      try (Socket other = connect()) {
        String status = statusOf("GET /overflow HTTP/1.1\r\nHost: a\r\n\r\n");
        assertTrue(status.isEmpty() || status.startsWith("HTTP/1.1 500"), status);
        other
            .getOutputStream()
            .write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals("HTTP/1.1 200 OK", firstLine(other));
      }
      assertServed();
    }
  }

  /** A caller that closes its connection before any part of the response was sent. */
  @Nested
  class DisconnectedCaller {
    private static final int DISCONNECT_TIMEOUT_MS = 2_000;

    private void sendAndDisconnect(String... parts) throws Exception {
      try (Socket socket = connect()) {
        send(socket, parts);
      }
      assertDisconnectDetected();
    }

    /** Sends a request and waits until the listener has received it completely. */
    private void send(Socket socket, String... parts) throws Exception {
      for (String part : parts) {
        socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
      }
      assertNotNull(
          received.poll(WAIT_MS, TimeUnit.MILLISECONDS), "the request did not arrive completely");
    }

    private void assertDisconnectDetected() throws InterruptedException {
      assertNotNull(
          disconnected.poll(DISCONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS),
          "the disconnect was not detected");
    }

    /** Guards against a generation that continues after its caller disconnected. */
    @Test
    void afterARequestWithoutABody() throws Exception {
      sendAndDisconnect("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    /** Guards against a generation that continues after its caller disconnected. */
    @Test
    void afterABodyWithALength() throws Exception {
      sendAndDisconnect("POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok");
    }

    /** Guards against a generation that continues after its caller disconnected. */
    @Test
    void afterABodyInParts() throws Exception {
      sendAndDisconnect("POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nok", "ok");
    }

    /** Guards against a generation that continues after its caller disconnected. */
    @Test
    void afterABodyInChunks() throws Exception {
      sendAndDisconnect(
          "POST /wait HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
          "0\r\n\r\n");
    }

    /** Guards against a generation that continues after its caller disconnected. */
    @Test
    void onAReusedConnection() throws Exception {
      try (Socket socket = connect()) {
        socket
            .getOutputStream()
            .write(
                "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok"
                    .getBytes(StandardCharsets.US_ASCII));
        readTo(socket, "\r\n\r\nok");
        send(socket, "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok");
      }
      assertDisconnectDetected();
    }

    /** Reads a response to its end, since closing a socket with unread bytes sends a reset. */
    private static void readTo(Socket socket, String end) throws IOException {
      StringBuilder response = new StringBuilder();
      while (response.indexOf(end) < 0) {
        int next = socket.getInputStream().read();
        assertTrue(next >= 0, () -> "the response ended early: " + response);
        response.append((char) next);
      }
    }
  }

  @Nested
  class Malformed {
    /** Guards against unbounded memory for a header line. */
    @Test
    void longHeaderLine() throws Exception {
      assertRefused("GET /x HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(4_000) + "\r\n\r\n");
    }

    /** Guards against unbounded memory for headers. */
    @Test
    void tooManyHeaders() throws Exception {
      assertRefused("GET /x HTTP/1.1\r\nHost: a\r\n" + "X: y\r\n".repeat(50) + "\r\n");
    }

    /** Guards against buffering a body that is over the limit. */
    @Test
    void tooLargeBody() throws Exception {
      assertRefused(
          "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n" + "x".repeat(3_000));
    }

    /** Guards against a malformed request line that stops the listener. */
    @Test
    void requestLine() throws Exception {
      assertRefused("NONSENSE\r\n\r\n");
    }

    /** Guards against a truncated body that is handled, or whose rejection is not counted. */
    @Test
    void closedInTheMiddleOfTheBody() throws Exception {
      try (Socket socket = connect()) {
        socket
            .getOutputStream()
            .write(
                "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nabc"
                    .getBytes(StandardCharsets.US_ASCII));
        socket.shutdownOutput();
        String status = firstLine(socket);
        assertTrue(status.isEmpty() || status.startsWith("HTTP/1.1 4"), status);
      }
      assertNotNull(rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS), "the refusal is not counted");
      assertServed();
      assertEquals(0, rejected.size(), "the refusal is counted twice");
    }
  }

  @Nested
  class SlowReader {
    /** Guards against unbounded output buffers for a caller that reads nothing. */
    @Test
    void outputIsBounded() throws Exception {
      try (Socket socket = connect()) {
        socket
            .getOutputStream()
            .write("GET /stream HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        Reply reply = streams.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        Payload chunk = Payload.copyOf(new byte[1_024]);
        int refused = 0;
        int taken = 0;
        while (refused < 100 && taken < 1 << 16) {
          if (reply.write(chunk)) {
            taken++;
          } else {
            refused++;
          }
        }
        assertEquals(100, refused, "64 MiB were buffered for a caller that reads nothing");
      }
    }
  }

  @Nested
  class GracefulClose {
    private static final long GRACE_MS = 200;

    /** Time for the threads of the listener to end after the connections were closed. */
    private static final long MAX_CLOSE_MS = 3_000;

    /** Guards against a stop that takes longer than its limit while a request has no response. */
    @Test
    void endsAfterTheGivenTime() throws Exception {
      try (Socket socket = connect()) {
        socket
            .getOutputStream()
            .write("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals("/wait", received.poll(WAIT_MS, TimeUnit.MILLISECONDS));
        long startNanos = System.nanoTime();
        listener.closeGracefully(GRACE_MS);
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(elapsedMs < MAX_CLOSE_MS, () -> "closed after " + elapsedMs + " ms");
        assertEquals("/wait", disconnected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
      }
    }
  }
}
