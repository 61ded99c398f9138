package dev.caroblb.http;

import java.io.IOException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;

/**
 * Rejects request heads with ambiguous message framing. If two parsers disagree on the end of a
 * request, a caller can smuggle a request in the body of another.
 */
final class StrictRequestParser extends DefaultHttpRequestParser<HttpRequest> {
  StrictRequestParser(Http1Config config) {
    super(config, DefaultHttpRequestFactory.INSTANCE);
  }

  @Override
  public HttpRequest parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException, HttpException {
    HttpRequest request = super.parse(input, endOfStream);
    if (request != null) {
      check(request);
    }
    return request;
  }

  private static void check(HttpRequest request) throws ProtocolException {
    int lengths = request.countHeaders(HttpHeaders.CONTENT_LENGTH);
    int encodings = request.countHeaders(HttpHeaders.TRANSFER_ENCODING);
    if (lengths + encodings > 1) {
      throw new ProtocolException(
          "ambiguous message length; send one Content-Length or one Transfer-Encoding");
    }
    Header length = request.getFirstHeader(HttpHeaders.CONTENT_LENGTH);
    if (length != null && !isNumber(length.getValue())) {
      throw new ProtocolException("Content-Length is not a number; send the length in bytes");
    }
    Header encoding = request.getFirstHeader(HttpHeaders.TRANSFER_ENCODING);
    if (encoding != null && !"chunked".equalsIgnoreCase(encoding.getValue().strip())) {
      throw new ProtocolException("unsupported Transfer-Encoding; send chunked");
    }
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty() && text.chars().allMatch(c -> c >= '0' && c <= '9');
  }
}
