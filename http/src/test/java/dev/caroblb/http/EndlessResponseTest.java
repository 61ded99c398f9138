package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Responses of which a part never ends. */
class EndlessResponseTest {
  private static final long TIMEOUT_MS = 10_000;

  /** Beyond the limits of the connector, as much as socket buffers of this system hold. */
  private static final long MAX_PEER_BYTES = 16 << 20;

  private static final String HEAD = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  private final HttpConnector connector = new HttpConnector(1, 1_000, 120_000);

  @AfterEach
  void stop() {
    connector.close();
  }

  private ClientExchange send(ScriptedPeer peer, RecordingSink sink) {
    return connector.execute(
        peer.address(),
        new OutgoingRequest("POST", "/", Map.of(), "text/plain", Payload.ofText("question")),
        sink);
  }

  private static ScriptedPeer peer(String start, String repeated) throws IOException {
    ScriptedPeer[] peer = new ScriptedPeer[1];
    peer[0] =
        new ScriptedPeer(
            connection -> {
              ScriptedPeer.readHead(connection);
              ScriptedPeer.write(connection, start);
              peer[0].writeEndlessly(connection, repeated);
            });
    return peer[0];
  }

  private static void assertClosed(ScriptedPeer peer) throws InterruptedException {
    Long bytes = peer.endlessBytes.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    assertTrue(bytes != null, "the connection stays open");
    assertTrue(bytes < MAX_PEER_BYTES, "the peer could send " + bytes + " bytes");
  }

  private void assertFails(String start, String repeated) throws Exception {
    try (ScriptedPeer peer = peer(start, repeated)) {
      RecordingSink sink = new RecordingSink();
      send(peer, sink);
      assertEquals("failed", sink.awaitOutcome(TIMEOUT_MS), start + repeated);
      assertClosed(peer);
    }
  }

  @Nested
  class Head {
    /** Guards against a line that fills the memory. */
    @Test
    void endlessLineFailsTheRequest() throws Exception {
      assertFails("HTTP/1.1 200 ", "x");
      assertFails(HEAD + "A: ", "x");
      assertFails(HEAD + "A: b\r\n", " folded\r\n");
    }

    /** Guards against header fields that fill the memory. */
    @Test
    void endlessFieldsFailTheRequest() throws Exception {
      assertFails(HEAD, "A: b\r\n");
    }

    /** Guards against long fields, each within its limit, that together fill the memory. */
    @Test
    void longFieldsFailTheRequestBeforeTheEndOfTheHead() throws Exception {
      String field = "A: " + "b".repeat(16_000) + "\r\n";
      try (ScriptedPeer peer =
          new ScriptedPeer(
              connection -> {
                ScriptedPeer.readHead(connection);
                ScriptedPeer.write(connection, HEAD + field.repeat(95));
                ScriptedPeer.awaitClose(connection);
              })) {
        RecordingSink sink = new RecordingSink();
        send(peer, sink);
        assertEquals("failed", sink.awaitOutcome(TIMEOUT_MS));
      }
    }

    /** Guards against interim responses that keep a request waiting until its deadline. */
    @Test
    void endlessInterimResponsesFailTheRequest() throws Exception {
      assertFails("", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n");
      assertFails("", "HTTP/1.1 100 Continue\r\n\r\n");
    }

    /** Guards against bytes that are no HTTP. */
    @Test
    void garbageFailsTheRequest() throws Exception {
      assertFails("", "\u0001");
      assertFails("", "garbage\r\n");
      assertFails("", "\r\n");
    }
  }

  @Nested
  class ChunkedBody {
    /** Guards against a chunk header that fills the memory. */
    @Test
    void endlessChunkHeaderFailsTheRequest() throws Exception {
      assertFails(CHUNKED, "0");
      assertFails(CHUNKED + "5;", "x");
    }

    /** Guards against trailers that fill the memory. */
    @Test
    void endlessTrailersFailTheRequest() throws Exception {
      assertFails(CHUNKED + "0\r\nA: ", "x");
      assertFails(CHUNKED + "0\r\n", "A: b\r\n");
    }
  }

  @Nested
  class Body {
    /** Guards against a body that is received faster than it is processed. */
    @Test
    void isReceivedUpToTheWindow() throws Exception {
      for (String start : new String[] {HEAD + "\r\n", CHUNKED + "fffffff\r\n"}) {
        try (ScriptedPeer peer = peer(start, "x")) {
          RecordingSink sink = new RecordingSink();
          ClientExchange exchange = send(peer, sink);
          assertEquals(200, sink.statuses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
          assertEquals(null, sink.awaitOutcome(500));
          assertTrue(sink.bodyBytes.get() <= 2 * 65_536, sink.bodyBytes + " bytes were received");
          exchange.close();
          assertClosed(peer);
        }
      }
    }

    /** Guards against many messages to the duty for a few bytes. */
    @Test
    void inSmallChunksIsReceivedInFewParts() throws Exception {
      try (ScriptedPeer peer = peer(CHUNKED, "1\r\nx\r\n")) {
        RecordingSink sink = new RecordingSink();
        ClientExchange exchange = send(peer, sink);
        assertEquals(200, sink.statuses.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS));
        assertEquals(null, sink.awaitOutcome(500));
        assertTrue(sink.parts.get() <= 128, sink.parts + " parts were received");
        exchange.close();
        assertClosed(peer);
      }
    }
  }

  @Nested
  class AfterTheResponse {
    /** Guards against a connection that stays open because its peer goes on sending. */
    @Test
    void endlessBytesCloseTheConnection() throws Exception {
      for (String start :
          new String[] {HEAD + "Content-Length: 2\r\n\r\nok", CHUNKED + "2\r\nok\r\n0\r\n\r\n"}) {
        try (ScriptedPeer peer = peer(start, "x")) {
          RecordingSink sink = new RecordingSink();
          send(peer, sink);
          assertEquals("complete", sink.awaitOutcome(TIMEOUT_MS));
          assertClosed(peer);
          assertEquals(2, sink.bodyBytes.get());
        }
      }
    }
  }
}
