package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Status lines of peers that keep their connections open after the response. */
class ResponseStatusTest extends ResponseFixture {
  private static final List<String> INVALID =
      List.of("000", "001", "099", "0200", "1000", "20", "-12", "+20", "2xx", "600", "999", "");

  @Nested
  class OutsideTheProtocol {
    /** Guards against a status that reaches callers, or a request that waits for its deadline. */
    @Test
    void failsAFinalResponse() throws Exception {
      for (String status : INVALID) {
        for (String end : List.of(" Odd\r\n\r\n", "\r\nContent-Length: 1\r\n\r\nx")) {
          assertNull(respond(FAILED, "HTTP/1.1 " + status + end).statuses.poll());
        }
      }
    }

    /** Guards against a check that covers only the first response head on a connection. */
    @Test
    void failsTheResponseAfterAnInterimOne() throws Exception {
      for (String status : INVALID) {
        respond(FAILED, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 " + status + " Odd\r\n\r\n");
      }
    }
  }

  @Nested
  class WithinTheProtocol {
    /** Guards against a rule that rejects valid responses with unusual statuses. */
    @Test
    void isPassedOn() throws Exception {
      for (int status : List.of(200, 299, 308, 400, 499, 500, 599)) {
        RecordingSink sink =
            respond(COMPLETE, "HTTP/1.1 " + status + "\r\nContent-Length: 1\r\n\r\nx");
        assertEquals(status, sink.statuses.poll());
      }
    }

    /** Guards against a valid interim response that fails its request. */
    @Test
    void isSkippedIfInterim() throws Exception {
      String interim =
          "HTTP/1.1 101 Up\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 199 Wait\r\n\r\n";
      RecordingSink sink =
          respond(COMPLETE, interim + "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx");
      assertEquals(200, sink.statuses.poll());
    }
  }

  @Nested
  class WithinABody {
    /** Guards against a status line within a stream that is taken for a response of its own. */
    @Test
    void isPartOfTheBody() throws Exception {
      String body = "HTTP/1.1 600 Odd\r\n\r\n";
      RecordingSink sink =
          respond(COMPLETE, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n" + body);
      assertEquals(body.length(), sink.bodyBytes.get());
    }

    /** Guards against a chunked stream that continues after bytes that are no chunk. */
    @Test
    void failsAChunkedStream() throws Exception {
      String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
      respond(FAILED, head + "HTTP/1.1 600 Odd\r\n\r\n");
    }
  }
}
