package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class HttpConnectorTest {
  private static final long WAIT_MS = 10_000;
  private static final long CONNECT_MS = 200;

  /** Half the time within which a target must stop working for a disconnected caller. */
  private static final long DISCONNECT_TIMEOUT_MS = 250;

  /** Well above the connect timeout, since HttpCore checks timeouts only about once a second. */
  private static final long RESPONSE_DELAY_MS = 2_500;

  private final LinkedBlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
  private final HttpConnector connector = new HttpConnector(1, CONNECT_MS, WAIT_MS);
  private HttpListener listener;

  @BeforeEach
  void listen() throws IOException {
    listener =
        HttpListener.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            HttpLimits.DEFAULTS,
            this::respondLate,
            status -> {});
  }

  @AfterEach
  void stop() {
    connector.close();
    listener.close();
    scheduler.shutdownNow();
  }

  private void respondLate(IncomingRequest request, Reply reply) {
    var unused =
        scheduler.schedule(
            () -> reply.send(200, "text/plain", Payload.ofText("late"), Map.of()),
            RESPONSE_DELAY_MS,
            TimeUnit.MILLISECONDS);
  }

  private final class Outcome implements ResponseSink {
    @Override
    public void head(int status, Map<String, String> headers) {}

    @Override
    public void data(ByteBuffer part) {
      part.position(part.limit());
    }

    @Override
    public void end() {
      outcomes.add("complete");
    }

    @Override
    public void failed(boolean written, String cause) {
      outcomes.add(cause);
    }
  }

  @Nested
  class SlowResponse {
    /** Guards against applying the connect timeout to the wait for a response. */
    @Test
    void isAwaitedBeyondTheConnectTimeout() throws Exception {
      connector.execute(
          listener.address(),
          new OutgoingRequest("GET", "/", Map.of(), "text/plain", Payload.empty()),
          new Outcome());
      assertEquals("complete", outcomes.poll(WAIT_MS, TimeUnit.MILLISECONDS));
    }
  }

  @Nested
  class ClosedExchange {
    /**
     * Guards against a connection that stays open, and a target that keeps working, when the
     * exchange is closed before the response starts.
     */
    @Test
    void closesItsConnectionBeforeTheResponse() throws Exception {
      LinkedBlockingQueue<String> seen = new LinkedBlockingQueue<>();
      HttpListener silent =
          HttpListener.start(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              HttpLimits.DEFAULTS,
              (request, reply) -> {
                reply.onDisconnect(() -> seen.add("disconnected"));
                seen.add("arrived");
              },
              status -> {});
      try (silent) {
        ClientExchange exchange =
            connector.execute(
                silent.address(),
                new OutgoingRequest(
                    "POST", "/x", Map.of(), "text/plain", Payload.ofText("question")),
                new Outcome());
        assertEquals("arrived", seen.poll(WAIT_MS, TimeUnit.MILLISECONDS));
        exchange.close();
        assertEquals("disconnected", seen.poll(DISCONNECT_TIMEOUT_MS, TimeUnit.MILLISECONDS));
      }
    }
  }
}
