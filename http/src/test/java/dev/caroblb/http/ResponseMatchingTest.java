package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import dev.caroblb.core.Payload;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Which bytes of a connection are the response to a request, and where the response ends. */
class ResponseMatchingTest {
  private static final long TIMEOUT_MS = 10_000;
  private static final String OK =
      "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok";
  private static final String REFUSAL =
      "HTTP/1.1 503 Full\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n";

  private final HttpConnector connector = new HttpConnector(1, 1_000, 120_000);

  @AfterEach
  void stop() {
    connector.close();
  }

  private RecordingSink send(ScriptedPeer peer) {
    RecordingSink sink = new RecordingSink();
    connector.execute(
        peer.address(),
        new OutgoingRequest("POST", "/", Map.of(), "text/plain", Payload.ofText("question")),
        sink);
    return sink;
  }

  @Nested
  class Connection {
    /**
     * Guards against a response that is taken for the response to the next request, which needs a
     * connection that is kept.
     */
    @Test
    void isClosedAfterOneResponse() throws Exception {
      LinkedBlockingQueue<String> closed = new LinkedBlockingQueue<>();
      try (ScriptedPeer peer =
          new ScriptedPeer(
              connection -> {
                ScriptedPeer.readHead(connection);
                ScriptedPeer.write(connection, OK + REFUSAL);
                ScriptedPeer.awaitClose(connection);
                closed.add("closed");
              })) {
        for (int i = 0; i < 3; i++) {
          RecordingSink sink = send(peer);
          assertEquals("complete", sink.awaitOutcome(TIMEOUT_MS));
          assertEquals(200, sink.statuses.poll());
          assertEquals(0, sink.statuses.size());
          assertEquals("closed", closed.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
        assertEquals(3, peer.accepted.size());
        assertNotEquals(peer.accepted.poll(), peer.accepted.poll());
      }
    }
  }

  @Nested
  class WithoutLength {
    /** Guards against treating the close that ends such a response as a loss. */
    @Test
    void isCompleteWhenTheConnectionIsClosed() throws Exception {
      try (ScriptedPeer peer =
          new ScriptedPeer(
              connection -> {
                readRequest(connection);
                ScriptedPeer.write(connection, "HTTP/1.1 200 OK\r\n\r\nok");
                connection.shutdownOutput();
                ScriptedPeer.awaitClose(connection);
              })) {
        RecordingSink sink = send(peer);
        assertEquals("complete", sink.awaitOutcome(TIMEOUT_MS));
        assertEquals(2, sink.bodyBytes.get());
      }
    }

    /** Guards against taking a broken response for a complete one. */
    @Test
    void isIncompleteWhenTheConnectionIsReset() throws Exception {
      LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
      try (ScriptedPeer peer =
          new ScriptedPeer(
              connection -> {
                readRequest(connection);
                ScriptedPeer.write(connection, "HTTP/1.1 200 OK\r\n\r\nok");
                await(received);
                connection.setSoLinger(true, 0);
              })) {
        RecordingSink sink = send(peer);
        assertEquals(200, sink.statuses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        received.add("head");
        assertEquals("failed", sink.awaitOutcome(TIMEOUT_MS));
      }
    }

    /** Guards against taking a response for complete that has fewer bytes than announced. */
    @Test
    void isNotAssumedForAResponseWithALengthOrChunks() throws Exception {
      for (String start :
          new String[] {
            "Content-Length: 9\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok"
          }) {
        try (ScriptedPeer peer =
            new ScriptedPeer(
                connection -> {
                  readRequest(connection);
                  ScriptedPeer.write(connection, "HTTP/1.1 200 OK\r\n" + start);
                  connection.shutdownOutput();
                  ScriptedPeer.awaitClose(connection);
                })) {
          assertEquals("failed", send(peer).awaitOutcome(TIMEOUT_MS), start);
        }
      }
    }

    private void readRequest(Socket connection) throws java.io.IOException {
      ScriptedPeer.readHead(connection);
      connection.getInputStream().readNBytes("question".length());
    }

    private void await(LinkedBlockingQueue<String> event) {
      try {
        event.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
