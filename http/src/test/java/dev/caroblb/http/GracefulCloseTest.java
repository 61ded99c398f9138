package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests and responses that cross the graceful close of a listener. */
class GracefulCloseTest extends ListenerFixture {
  private static final long GRACE_MS = 5_000;
  private static final long PAUSE_MS = 100;
  private static final int LARGE_BODY_BYTES = 8 << 20;
  private static final String GET = "GET /%s HTTP/1.1\r\nHost: a\r\n\r\n";

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final LinkedBlockingQueue<Reply> replies = new LinkedBlockingQueue<>();

  @AfterEach
  void stopThreads() {
    threads.shutdownNow();
  }

  @Override
  void respond(IncomingRequest request, Reply reply) {
    if (request.path().equals("/now")) {
      send(reply, "now");
      return;
    }
    replies.add(reply);
  }

  private static void send(Reply reply, String body) {
    reply.send(200, "text/plain", Payload.ofText(body), Map.of());
  }

  private Socket connect(String sent) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.setSoTimeout(WAIT_MS);
    socket.connect(listener.address(), WAIT_MS);
    write(socket, sent);
    return socket;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private Reply awaitReply() throws InterruptedException {
    Reply reply = replies.poll(WAIT_MS, TimeUnit.MILLISECONDS);
    assertNotNull(reply, "the request did not arrive");
    return reply;
  }

  private Future<?> close(long graceMs) {
    return threads.submit(() -> listener.closeGracefully(graceMs));
  }

  /** Reads until the connection ends; a reset throws. */
  private static String readAll(Socket socket, long pauseMs) throws Exception {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    byte[] part = new byte[65_536];
    int count = socket.getInputStream().read(part);
    while (count >= 0) {
      all.write(part, 0, count);
      if (pauseMs > 0) {
        TimeUnit.MILLISECONDS.sleep(pauseMs);
      }
      count = socket.getInputStream().read(part);
    }
    return all.toString(StandardCharsets.US_ASCII);
  }

  @Nested
  class QueuedResponse {
    /** Guards against a response that is cut although its caller reads, slowly, within the time. */
    @Test
    void isWrittenToASlowReader() throws Exception {
      try (Socket socket = connect(String.format(GET, "later"))) {
        send(awaitReply(), "x".repeat(LARGE_BODY_BYTES));
        Future<?> closed = close(GRACE_MS);
        assertTrue(readAll(socket, 5).endsWith("xxx"));
        closed.get(WAIT_MS, TimeUnit.MILLISECONDS);
      }
    }

    /** Guards against a response that is discarded because it was sent after the close began. */
    @Test
    void isWrittenIfItIsSentAfterTheCloseBegan() throws Exception {
      try (Socket socket = connect(String.format(GET, "later"))) {
        Reply reply = awaitReply();
        Future<?> closed = close(GRACE_MS);
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        send(reply, "late");
        assertTrue(readAll(socket, 0).endsWith("late"));
        closed.get(WAIT_MS, TimeUnit.MILLISECONDS);
      }
    }

    /** Guards against a stream whose last part is discarded by the close. */
    @Test
    void streamIsWrittenToItsEnd() throws Exception {
      try (Socket socket = connect(String.format(GET, "later"))) {
        Reply reply = awaitReply();
        reply.startStream(200, "text/event-stream", Map.of());
        reply.write(Payload.ofText("first"));
        Future<?> closed = close(GRACE_MS);
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        reply.write(Payload.ofText("last"));
        reply.end();
        assertTrue(readAll(socket, 0).endsWith("last\r\n0\r\n\r\n"));
        closed.get(WAIT_MS, TimeUnit.MILLISECONDS);
      }
    }
  }

  @Nested
  class LastParts {
    /** Guards against the end of a stream that is dropped because the output buffer is full. */
    @Test
    void areWrittenBeyondTheOutputBuffer() throws Exception {
      try (Socket socket = connect(String.format(GET, "later"))) {
        Reply reply = awaitReply();
        reply.startStream(200, "text/event-stream", Map.of());
        Payload part = Payload.ofText("x".repeat(LARGE_BODY_BYTES));
        assertTrue(reply.write(part));
        assertFalse(reply.write(part), "the output buffer is not full");
        reply.end(List.of(part, Payload.ofText("last")));
        Future<?> closed = close(GRACE_MS);
        String response = readAll(socket, 0);
        assertTrue(response.length() > 2 * LARGE_BODY_BYTES, () -> "bytes: " + response.length());
        assertTrue(response.endsWith("last\r\n0\r\n\r\n"));
        closed.get(WAIT_MS, TimeUnit.MILLISECONDS);
      }
    }
  }

  @Nested
  class RequestThatCrossesTheClose {
    /** Guards against a request without a response whose body was complete during the close. */
    @Test
    void isServedIfItsBodyBeganBefore() throws Exception {
      try (Socket socket =
          connect(
              "POST /now HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")) {
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        Future<?> closed = close(GRACE_MS);
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        write(socket, "0\r\n\r\n");
        assertTrue(readAll(socket, 0).endsWith("now"));
        closed.get(WAIT_MS, TimeUnit.MILLISECONDS);
      }
    }

    /** Guards against a caller that waits for an interim response during the close. */
    @Test
    void isServedIfItsCallerExpectedContinue() throws Exception {
      try (Socket socket =
          connect(
              "POST /now HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")) {
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        Future<?> closed = close(GRACE_MS);
        TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
        write(socket, "ok");
        String all = readAll(socket, 0);
        assertTrue(all.endsWith("now"), all);
        closed.get(WAIT_MS, TimeUnit.MILLISECONDS);
      }
    }
  }
}
