package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import dev.caroblb.core.Payload;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;

/** A client whose peer responds with given bytes, and closes the connection or leaves it open. */
abstract class ResponseFixture {
  static final long WAIT_MS = 5_000;
  static final String COMPLETE = "complete";
  static final String FAILED = "failed";

  private final HttpConnector connector = new HttpConnector(1, 1_000, 120_000);

  @AfterEach
  final void stop() {
    connector.close();
  }

  /** Sends a request, gets the given bytes and leaves the connection open. */
  final RecordingSink respond(String outcome, String bytes) throws Exception {
    return exchange(outcome, bytes, false);
  }

  /** Sends a request and gets the given bytes and the end of the connection. */
  final RecordingSink respondAndClose(String outcome, String bytes) throws Exception {
    return exchange(outcome, bytes, true);
  }

  /** Whether the connection stays open or not, the request fails and no head is passed on. */
  final void assertRejected(String bytes) throws Exception {
    assertNull(respond(FAILED, bytes).statuses.poll(), bytes);
    assertNull(respondAndClose(FAILED, bytes).statuses.poll(), bytes);
  }

  private RecordingSink exchange(String outcome, String bytes, boolean closes) throws Exception {
    RecordingSink sink = new RecordingSink();
    try (ScriptedPeer peer =
        new ScriptedPeer(
            connection -> {
              ScriptedPeer.readHead(connection);
              ScriptedPeer.write(connection, bytes);
              if (closes) {
                connection.shutdownOutput();
              }
              ScriptedPeer.awaitClose(connection);
            })) {
      OutgoingRequest request =
          new OutgoingRequest("GET", "/v1/health", Map.of(), "text/plain", Payload.empty());
      connector.execute(peer.address(), request, sink);
      assertEquals(outcome, sink.awaitOutcome(WAIT_MS), bytes);
    }
    return sink;
  }
}
