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

  /** Half the time after which a target must not work for a caller that left. */
  private static final long NOTICED_MS = 250;

  /** The library checks time limits about once a second. */
  private static final long ANSWER_MS = 2_500;

  private final LinkedBlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor();
  private final HttpConnector connector = new HttpConnector(1, CONNECT_MS, WAIT_MS);
  private HttpListener listener;

  @BeforeEach
  void listen() throws IOException {
    listener =
        HttpListener.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            HttpLimits.DEFAULTS,
            this::answerLate,
            status -> {});
  }

  @AfterEach
  void stop() {
    connector.close();
    listener.close();
    later.shutdownNow();
  }

  private void answerLate(IncomingRequest request, Reply reply) {
    var unused =
        later.schedule(
            () -> reply.send(200, "text/plain", Payload.ofText("late"), Map.of()),
            ANSWER_MS,
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
  class SlowAnswer {
    /** Guards against answers cut off at the time limit that applies to connecting only. */
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
    /** Guards against targets that work on for a caller that left before the answer began. */
    @Test
    void closesItsConnectionBeforeTheAnswer() throws Exception {
      LinkedBlockingQueue<String> seen = new LinkedBlockingQueue<>();
      HttpListener silent =
          HttpListener.start(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              HttpLimits.DEFAULTS,
              (request, reply) -> {
                reply.onGone(() -> seen.add("gone"));
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
        assertEquals("gone", seen.poll(NOTICED_MS, TimeUnit.MILLISECONDS));
      }
    }
  }
}
