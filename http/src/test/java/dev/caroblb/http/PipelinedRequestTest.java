package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A second request that a caller sends before it got the response to the first one. */
class PipelinedRequestTest {
  private static final int WAIT_MS = 10_000;
  private static final long IDLE_MS = 400;
  private static final Payload EMPTY = Payload.empty();
  private static final String END = "\r\n\r\n";
  private static final String TWO_REQUESTS =
      "GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n";

  private final LinkedBlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
  private HttpListener listener;

  @BeforeEach
  void listen() throws IOException {
    RequestLimits limits = new RequestLimits(4_096, 1_024, WAIT_MS, IDLE_MS);
    listener =
        HttpListener.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            HttpLimits.DEFAULTS,
            () -> limits,
            (request, reply) -> replies.add(reply),
            status -> {});
  }

  @AfterEach
  void stop() {
    listener.close();
  }

  private Socket sendTwoRequests() throws IOException {
    Socket socket = new Socket();
    socket.setSoTimeout(WAIT_MS);
    socket.connect(listener.address(), WAIT_MS);
    socket.getOutputStream().write(TWO_REQUESTS.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private Reply nextReply() throws InterruptedException {
    Reply reply = replies.poll(WAIT_MS, TimeUnit.MILLISECONDS);
    assertNotNull(reply, "the request was not handled");
    return reply;
  }

  /** Reads until the given number of response heads arrived or the connection ended. */
  private static int responses(Socket socket, int wanted) throws IOException {
    StringBuilder read = new StringBuilder();
    int count = 0;
    while (count < wanted) {
      int next = socket.getInputStream().read();
      if (next < 0) {
        return count;
      }
      read.append((char) next);
      if (read.length() >= END.length()
          && read.substring(read.length() - END.length()).equals(END)) {
        count++;
      }
    }
    return count;
  }

  @Nested
  class OnAKeptConnection {
    /** Guards against an idle timeout that ends a request while its response is awaited. */
    @Test
    void isAnsweredAfterTheIdleTimeout() throws Exception {
      try (Socket socket = sendTwoRequests()) {
        final Reply first = nextReply();
        final Reply second = nextReply();
        first.send(200, List.of(), EMPTY);
        assertEquals(1, responses(socket, 1));
        Thread.sleep(3 * IDLE_MS);
        second.send(200, List.of(), EMPTY);
        assertEquals(1, responses(socket, 1));
      }
    }
  }

  @Nested
  class InALongSeries {
    private static final int REQUESTS = 3_000;

    /** Guards against a caller that fills the memory with requests, and against one that hangs. */
    @Test
    void isReadAsResponsesAreSent() throws Exception {
      try (Socket socket = new Socket()) {
        socket.setSoTimeout(WAIT_MS);
        socket.connect(listener.address(), WAIT_MS);
        String request = "GET /series HTTP/1.1\r\nHost: a\r\n\r\n";
        socket
            .getOutputStream()
            .write(request.repeat(REQUESTS).getBytes(StandardCharsets.US_ASCII));
        Reply first = nextReply();
        Thread.sleep(2 * IDLE_MS);
        assertTrue(replies.size() < REQUESTS / 2, replies.size() + " requests were handled");
        first.send(200, List.of(), EMPTY);
        CompletableFuture<Void> responding =
            CompletableFuture.runAsync(
                () -> {
                  for (int i = 1; i < REQUESTS; i++) {
                    try {
                      nextReply().send(200, List.of(), EMPTY);
                    } catch (InterruptedException e) {
                      throw new IllegalStateException(e);
                    }
                  }
                });
        assertEquals(REQUESTS, responses(socket, REQUESTS));
        responding.get(WAIT_MS, TimeUnit.MILLISECONDS);
      }
    }
  }

  @Nested
  class WhenTheConnectionCloses {
    /** Guards against a request that was handled and whose connection closes without a response. */
    @Test
    void isAnsweredAfterTheLastResponse() throws Exception {
      try (Socket socket = sendTwoRequests()) {
        final Reply first = nextReply();
        final Reply second = nextReply();
        first.send(200, List.of(new HeaderField("Connection", "close")), EMPTY);
        assertEquals(1, responses(socket, 1));
        second.send(200, List.of(new HeaderField("Connection", "close")), EMPTY);
        assertEquals(1, responses(socket, 1));
      }
    }
  }
}
