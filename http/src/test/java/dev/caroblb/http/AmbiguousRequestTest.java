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

/** Tests of requests with ambiguous or malformed framing, and of aborted responses. */
class AmbiguousRequestTest extends ListenerFixture {
  private final LinkedBlockingQueue<String> handled = new LinkedBlockingQueue<>();

  @Override
  void respond(IncomingRequest request, Reply reply) {
    handled.add(request.path());
    if (request.path().equals("/broken")) {
      reply.startStream(200, List.of(new HeaderField("Content-Type", "text/event-stream")));
      reply.write(Payload.ofText("data: a\n\n"));
      reply.abort();
      return;
    }
    reply.send(200, List.of(), Payload.ofText(request.requestTarget()));
  }

  /** Sends the bytes and returns all that the listener sends until it closes the connection. */
  private String exchange(String bytes) throws IOException {
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(WAIT_MS);
      socket.connect(listener.address(), WAIT_MS);
      socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
      return readAll(socket);
    }
  }

  /** Reads until end of input or connection reset. */
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
    /** Guards against request smuggling: a second request hidden in the body of the first. */
    @Test
    void areRefusedAndTheConnectionClosed() throws Exception {
      String response =
          exchange(
              "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                  + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
                  + "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n");
      assertTrue(response.startsWith("HTTP/1.1 400"), response);
      assertFalse(response.contains("200"), response);
      assertEquals(400, rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
      assertFalse(handled.contains("/hidden"));
    }
  }

  @Nested
  class MalformedFraming {
    private void assertRefused(String headers) throws Exception {
      String response = exchange("POST /a HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n\r\nabcde");
      assertTrue(response.startsWith("HTTP/1.1 400"), headers + " -> " + response);
      assertEquals(400, rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
      assertTrue(handled.isEmpty(), headers);
    }

    /**
     * Guards against ambiguous heads that are accepted, or that close the connection without a
     * response.
     */
    @Test
    void isRejectedWithAResponse() throws Exception {
      assertRefused("Content-Length: 5\r\nContent-Length: 3");
      assertRefused("Content-Length: -1");
      assertRefused("Content-Length: +5");
      assertRefused("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked");
      assertRefused("Transfer-Encoding: gzip, chunked");
    }

    /** Guards against a damaged length, after which the body is read as another request. */
    @Test
    void inALineThatIsNoFieldIsRejectedWithAResponse() throws Exception {
      for (String odd : List.of(" ", "\t", "\0", "\001", "\n", "\r", "\177", "(")) {
        assertRefused("Content" + odd + "Length: 5");
        assertRefused("Content-Length" + odd + ": 5");
        assertRefused(odd + "Content-Length: 5");
      }
      assertRefused("X-Odd: a\r\n Content-Length: 5");
      assertRefused("Content-Length: 5\r\nX-Odd: a\0b");
      assertRefused("Content-Length: 5\r\nX-Odd");
    }
  }

  @Nested
  class AnnouncedBody {
    /** Guards against waiting for a body whose announced length is over the limit. */
    @Test
    void aboveTheLimitIsRejectedBeforeItArrives() throws Exception {
      String response =
          exchange("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n");
      assertTrue(response.startsWith("HTTP/1.1 413"), response);
      assertEquals(413, rejected.poll(WAIT_MS, TimeUnit.MILLISECONDS));
    }
  }

  @Nested
  class AbortedResponse {
    /** Guards against an aborted response that looks complete. */
    @Test
    void hasNoLastChunk() throws Exception {
      String response = exchange("GET /broken HTTP/1.1\r\nHost: h\r\n\r\n");
      assertFalse(response.endsWith("0\r\n\r\n"), response);
    }
  }

  @Nested
  class Query {
    /** Guards against a query that is dropped from the request target. */
    @Test
    void isKept() throws Exception {
      String response =
          exchange("GET /a?b=1&c=%20x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
      assertTrue(response.endsWith("/a?b=1&c=%20x"), response);
    }
  }
}
