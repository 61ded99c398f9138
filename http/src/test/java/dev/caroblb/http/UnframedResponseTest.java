package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests responses with neither a length nor chunks, which end with their connection. */
class UnframedResponseTest {
  private static final long WAIT_MS = 10_000;
  private static final String RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";

  private final LinkedBlockingQueue<String> seen = new LinkedBlockingQueue<>();
  private final HttpConnector connector = new HttpConnector(1, WAIT_MS, WAIT_MS);
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    connector.close();
    server.close();
  }

  private final class Sink implements ResponseSink {
    @Override
    public void head(int status, Map<String, String> headers) {
      seen.add("head " + status);
    }

    @Override
    public void data(ByteBuffer part) {
      seen.add("data " + StandardCharsets.UTF_8.decode(part));
    }

    @Override
    public void end() {
      seen.add("end");
    }

    @Override
    public void failed(boolean written, String cause) {
      seen.add("failed");
    }
  }

  /** Sends the response and returns its connection once the response was received. */
  private Socket respond() throws Exception {
    connector.execute(
        new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
        new OutgoingRequest("GET", "/", Map.of(), "text/plain", Payload.empty()),
        new Sink());
    Socket connection = server.accept();
    int first = connection.getInputStream().read();
    assertTrue(first >= 0);
    connection.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.UTF_8));
    connection.getOutputStream().flush();
    assertEquals("head 200", next());
    assertEquals("data id: 1\ndata: a\n\n", next());
    return connection;
  }

  private String next() throws InterruptedException {
    return seen.poll(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  @Nested
  class ClosedConnection {
    /** Guards against treating a response that ends with its connection as broken off. */
    @Test
    void completesTheResponse() throws Exception {
      try (Socket connection = respond()) {
        connection.shutdownOutput();
        assertEquals("end", next());
      }
    }
  }

  @Nested
  class ResetConnection {
    /** Guards against a response that was broken off but looks complete. */
    @Test
    void failsTheResponse() throws Exception {
      Socket connection = respond();
      connection.setSoLinger(true, 0);
      connection.close();
      assertEquals("failed", next());
    }
  }
}
