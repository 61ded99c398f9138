package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Responses whose bytes do not match the grammar of RFC 9112. */
class MalformedResponseTest extends ResponseFixture {
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String BODY = "0123456789";
  private static final String LENGTH = "Content-Length: 10\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

  /** Bytes that are no part of a token. */
  private static final List<String> NOT_IN_NAMES =
      List.of(" ", "\t", "\0", "\001", "\013", "\r", "\177", "\200", "\377", "(", "\"", "/", "@");

  private static final List<String> CONTROL_BYTES = List.of("\0", "\001", "\013", "\r", "\177");

  /** A response with the line before, and one with it after the line that gives the length. */
  private void assertLineRejected(String line) throws Exception {
    assertRejected(OK + line + "\r\n" + LENGTH + "\r\n" + BODY);
    assertRejected(OK + LENGTH + line + "\r\n\r\n" + BODY);
  }

  @Nested
  class FieldName {
    /** Guards against a line that is passed on as a field although it is none. */
    @Test
    void withAByteThatIsNoPartOfATokenIsRejected() throws Exception {
      for (String odd : NOT_IN_NAMES) {
        assertLineRejected("X-Od" + odd + "d: a");
        assertLineRejected("X-Odd" + odd + ": a");
        assertLineRejected(odd + "X-Odd: a");
      }
    }

    /** Guards against a response without a length that ends with its connection. */
    @Test
    void ofTheLengthIsNotReadAsAnotherField() throws Exception {
      for (String odd : NOT_IN_NAMES) {
        assertRejected(OK + "Content" + odd + "Length: 10\r\n\r\n" + BODY);
        assertRejected(OK + "Content-Length" + odd + ": 10\r\n\r\n" + BODY);
        assertRejected(OK + "Transfer" + odd + "Encoding: chunked\r\n\r\n" + BODY);
      }
    }

    /** Guards against a line that is skipped because it has no name. */
    @Test
    void isRequired() throws Exception {
      for (String line : List.of("X-Odd", ": a", ":", "X-Odd a", "\0")) {
        assertLineRejected(line);
      }
    }

    /** Guards against a rule that rejects valid names. */
    @Test
    void mayHaveAnyByteOfAToken() throws Exception {
      respond(COMPLETE, OK + "a!#$%&'*+-.^_`|~09Z: a\r\n" + LENGTH + "\r\n" + BODY);
    }
  }

  @Nested
  class FieldValue {
    /** Guards against control bytes that are passed on to callers. */
    @Test
    void withAControlByteIsRejected() throws Exception {
      for (String odd : CONTROL_BYTES) {
        assertLineRejected("X-Odd: a" + odd + "b");
        assertLineRejected("X-Odd: " + odd);
        assertRejected(OK + "Content-Length: 10" + odd + "\r\n\r\n" + BODY);
      }
    }

    /** Guards against the field of the length that becomes a part of the one before it. */
    @Test
    void continuedOnTheNextLineIsRejected() throws Exception {
      for (String fold : List.of(" ", "\t", "  \t")) {
        assertRejected(OK + "X-Odd: a\r\n" + fold + LENGTH + "\r\n" + BODY);
        assertRejected(OK + LENGTH + fold + "X-Odd: a\r\n\r\n" + BODY);
        assertRejected(OK + LENGTH + "X-Odd: a\r\n" + fold + "\r\n\r\n" + BODY);
      }
    }

    /** Guards against a rule that rejects valid values. */
    @Test
    void mayBeEmptyAndHaveBlanksAndBytesAboveAscii() throws Exception {
      for (String value : List.of("", " ", " a\tb ", " \u00e9\u0080\u00ff", " \"a:b\" (c)", "a")) {
        respond(COMPLETE, OK + "X-Odd:" + value + "\r\n" + LENGTH + "\r\n" + BODY);
      }
    }
  }

  @Nested
  class Length {
    /** Guards against a length that is read although it is no number of bytes. */
    @Test
    void thatIsNoNumberIsRejected() throws Exception {
      for (String length :
          List.of(
              "+10",
              "-10",
              "-0",
              "0x10",
              "10.0",
              "10a",
              "a",
              "",
              "1 0",
              "10, 11",
              "10,10",
              "10;",
              "99999999999999999999",
              "\u00b9\u00b2")) {
        for (String status : List.of("200 OK", "500 Error", "404 Not Found")) {
          String head = "HTTP/1.1 " + status + "\r\nContent-Length: " + length + "\r\n\r\n";
          assertRejected(head + BODY);
        }
      }
    }

    /** Guards against two readers that see different ends of the same response. */
    @Test
    void thatIsGivenTwiceIsRejected() throws Exception {
      assertRejected(OK + LENGTH + "Content-Length: 9\r\n\r\n" + BODY);
      assertRejected(OK + LENGTH + "content-length: 10\r\n\r\n" + BODY);
      assertRejected(OK + LENGTH + CHUNKED + "\r\na\r\n" + BODY + "\r\n0\r\n\r\n");
      assertRejected(OK + CHUNKED + CHUNKED + "\r\na\r\n" + BODY + "\r\n0\r\n\r\n");
    }

    /** Guards against a body that is read in another way than it was sent. */
    @Test
    void inAnUnknownEncodingIsRejected() throws Exception {
      for (String encoding :
          List.of("gzip, chunked", "chunked, gzip", "identity", "", "xchunked", "chunked;a=b")) {
        assertRejected(OK + "Transfer-Encoding: " + encoding + "\r\n\r\n0\r\n\r\n");
      }
      assertRejected("HTTP/1.0 200 OK\r\n" + CHUNKED + "\r\na\r\n" + BODY + "\r\n0\r\n\r\n");
    }

    /** Guards against a rule that rejects valid lengths. */
    @Test
    void mayHaveBlanksAroundItAndLeadingZeros() throws Exception {
      for (String length : List.of("10", "  10\t", "0010")) {
        String response = OK + "content-LENGTH:" + length + "\r\n\r\n" + BODY;
        assertEquals(BODY.length(), respond(COMPLETE, response).bodyBytes.get());
      }
      respond(COMPLETE, "HTTP/1.1 204 No Content\r\n\r\n");
      respond(COMPLETE, "HTTP/1.0 200 OK\r\n" + LENGTH + "\r\n" + BODY);
      respondAndClose(COMPLETE, OK + "\r\n" + BODY);
    }
  }

  @Nested
  class StatusLine {
    /** Guards against bytes that are read as a status line although they are none. */
    @Test
    void thatIsMalformedIsRejected() throws Exception {
      for (String line :
          List.of(
              "HTTP/1.1\t200 OK",
              "HTTP/1.1 200 O\0K",
              "HTTP/1.1 200 O\rK",
              "HTTP/1.1 200\tOK",
              "HTTP/1.1x 200 OK",
              "HTTP/1.12 200 OK",
              "HTTP/0.9 200 OK",
              "HTTP/2.0 200 OK",
              "HTTP/1 200 OK",
              "http/1.1 200 OK",
              "ICY 200 OK",
              " HTTP/1.1 200 OK",
              "200 OK")) {
        assertRejected(line + "\r\n" + LENGTH + "\r\n" + BODY);
      }
    }
  }

  @Nested
  class EmptyLine {
    /** Guards against a rule that rejects more than the bytes of a response can tell. */
    @Test
    void beforeAStatusLineIsSkipped() throws Exception {
      respond(COMPLETE, "\r\n" + OK + LENGTH + "\r\n" + BODY);
    }
  }

  @Nested
  class InterimResponse {
    /** Guards against a rule that covers the last head of a response only. */
    @Test
    void withAMalformedFieldFailsTheRequest() throws Exception {
      String last = OK + LENGTH + "\r\n" + BODY;
      assertRejected("HTTP/1.1 103 Early Hints\r\nContent Length: 10\r\n\r\n" + last);
      assertRejected("HTTP/1.1 100 Continue\r\nX-Odd: a\r\n b\r\n\r\n" + last);
    }

    /** Guards against a final head that is taken for a continuation of the interim one. */
    @Test
    void isFollowedByAWholeHead() throws Exception {
      String interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
      respond(COMPLETE, interim + OK + LENGTH + "\r\n" + BODY);
      assertRejected(interim + OK + "Content\001Length: 10\r\n\r\n" + BODY);
    }
  }

  @Nested
  class Chunk {
    private void assertFails(String body) throws Exception {
      respond(FAILED, OK + CHUNKED + "\r\n" + body);
      respondAndClose(FAILED, OK + CHUNKED + "\r\n" + body);
    }

    /** Guards against a size that is read although it is no hexadecimal number. */
    @Test
    void withAMalformedSizeFailsTheRequest() throws Exception {
      for (String size :
          List.of("+a", "-a", "-1", "0xa", " a", "a ", "a b", "g", "", ";b", "a\0", "a\t", "a,b")) {
        assertFails(size + "\r\n" + BODY + "\r\n0\r\n\r\n");
        assertFails("a\r\n" + BODY + "\r\n" + size + "\r\n" + BODY + "\r\n0\r\n\r\n");
      }
      assertFails("fffffffffffffffff\r\n" + BODY + "\r\n0\r\n\r\n");
    }

    /** Guards against a body that ends early because of a last chunk that is none. */
    @Test
    void isTheLastOneOnlyIfItsSizeIsZero() throws Exception {
      for (String size : List.of("+0", "-0", "0x0", "0 0", "0\001")) {
        assertFails("a\r\n" + BODY + "\r\n" + size + "\r\n\r\n");
      }
      for (String size : List.of("0", "0;a", "0\r")) {
        respondAndClose(FAILED, OK + CHUNKED + "\r\na\r\n" + BODY + "\r\n" + size);
      }
    }

    /** Guards against data that is longer or shorter than its size. */
    @Test
    void withoutALineEndAfterItsDataFailsTheRequest() throws Exception {
      assertFails("9\r\n" + BODY + "\r\n0\r\n\r\n");
      assertFails("a\r\n" + BODY + "0\r\n\r\n");
      assertFails("b\r\n" + BODY + "\r\n0\r\n\r\n");
    }

    /** Guards against a rule that rejects valid chunks. */
    @Test
    void mayHaveAnExtensionAndLeadingZeros() throws Exception {
      for (String size : List.of("a", "A", "00a", "a;b=c", "a ; b=\"c d\"", "a;b;c=d")) {
        String body = size + "\r\n" + BODY + "\r\n000\r\n\r\n";
        RecordingSink sink = respond(COMPLETE, OK + CHUNKED + "\r\n" + body);
        assertEquals(BODY.length(), sink.bodyBytes.get());
      }
    }
  }

  @Nested
  class Trailer {
    private String response(String trailers) {
      return OK + CHUNKED + "\r\na\r\n" + BODY + "\r\n0\r\n" + trailers + "\r\n";
    }

    /** Guards against a response that is complete although its last lines are no fields. */
    @Test
    void thatIsNoFieldFailsTheRequest() throws Exception {
      for (String line :
          List.of("X-Odd", "X Odd: a", "X-Odd : a", "X-Odd: \001", ": a", "X-Odd: a\r\n b")) {
        respond(FAILED, response(line + "\r\n"));
        respondAndClose(FAILED, response(line + "\r\n"));
      }
      respondAndClose(FAILED, OK + CHUNKED + "\r\na\r\n" + BODY + "\r\n0\r\nX-Odd: a");
    }

    /** Guards against a rule that rejects valid trailers. */
    @Test
    void mayFollowTheLastChunk() throws Exception {
      respond(COMPLETE, response(""));
      respond(COMPLETE, response("X-Trailer: a\r\nX-Other:\r\n"));
    }

    /** Guards against a complete body that is discarded: the last chunk ends it. */
    @Test
    void mayBeCutOff() throws Exception {
      respondAndClose(COMPLETE, OK + CHUNKED + "\r\na\r\n" + BODY + "\r\n0\r\n");
    }
  }
}
