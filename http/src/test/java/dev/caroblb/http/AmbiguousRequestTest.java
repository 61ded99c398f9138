package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests whose end cannot be told, and answers that must not look complete. */
class AmbiguousRequestTest extends ListenerFixture {
  private final LinkedBlockingQueue<String> handled = new LinkedBlockingQueue<>();

  @Override
  void answer(IncomingRequest request, Reply reply) {
    handled.add(request.path());
    if (request.path().equals("/broken")) {
      reply.startStream(200, List.of(new HeaderField("Content-Type", "text/event-stream")));
      reply.write(Payload.ofText("data: a\n\n"));
      reply.abort();
      return;
    }
    reply.send(200, List.of(), Payload.ofText(request.target()));
  }

  /** Everything that the listener sends until it closes the connection. */
  private String exchange(String bytes) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(WAIT_MS);
      socket.connect(listener.address(), WAIT_MS);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      return readAll(socket);
    }
  }

  /** Reads to the end or to a reset, which ends an answer as well. */
  private static String readAll(Socket socket) throws IOException {
    StringBuilder text = new StringBuilder();
    try {
      int next = socket.getInputStream().read();
      while (next >= 0) {
        text.append((char) next);
        next = socket.getInputStream().read();
      }
    } catch (SocketException e) {
      return text.toString();
    }
    return text.toString();
  }

  @Nested
  class TwoFramings {
    /** Guards against a second request that is hidden in the body of the first. */
    @Test
    void areRefusedAndTheConnectionClosed() throws Exception {
      String answer =
          exchange(
              "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                  + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                  + "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
      assertTrue(answer.startsWith("HTTP/1.1 400"), answer);
      assertFalse(answer.contains("200"), answer);
      assertEquals(400, rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
      assertFalse(handled.contains("/hidden"));
    }
  }

  @Nested
  class MalformedFraming {
    private void assertRefused(String headers) throws Exception {
      String answer = exchange("POST /a HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n\r\nabcde");
      assertTrue(answer.startsWith("HTTP/1.1 400"), headers + " -> " + answer);
      assertEquals(400, rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
      assertTrue(handled.isEmpty(), headers);
    }

    /** Guards against heads that end the connection without an answer or are read in two ways. */
    @Test
    void isRefusedWithAnAnswer() throws Exception {
      assertRefused("Content-Length: 5\r\nContent-Length: 3");
      assertRefused("Content-Length: -1");
      assertRefused("Content-Length: +5");
      assertRefused("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked");
      assertRefused("Transfer-Encoding: gzip, chunked");
    }
  }

  @Nested
  class AnnouncedBody {
    /** Guards against a connection held for a body that is refused anyway. */
    @Test
    void aboveTheLimitIsRefusedBeforeItComes() throws Exception {
      String answer =
          exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n");
      assertTrue(answer.startsWith("HTTP/1.1 413"), answer);
      assertEquals(413, rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
    }
  }

  @Nested
  class BrokenOffAnswer {
    /** Guards against an answer that was given up and looks complete. */
    @Test
    void hasNoLastChunk() throws Exception {
      String answer = exchange("GET /broken HTTP/1.1\r\nHost: h\r\n\r\n");
      assertFalse(answer.endsWith("0\r\n\r\n"), answer);
    }
  }

  @Nested
  class Query {
    /** Guards against a query that is lost on the way to a target. */
    @Test
    void isKept() throws Exception {
      String answer =
          exchange("GET /a?b=1&c=%20x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      assertTrue(answer.endsWith("/a?b=1&c=%20x"), answer);
    }
  }
}
