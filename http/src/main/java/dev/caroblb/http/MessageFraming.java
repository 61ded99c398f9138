package dev.caroblb.http;

import java.util.regex.Pattern;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolException;

/**
 * Rejects heads that leave the length of their body open to interpretation (RFC 9112, section 6).
 */
final class MessageFraming {
  /** A number that fits into a long. */
  private static final Pattern NUMBER = Pattern.compile("0*[0-9]{1,18}");

  private MessageFraming() {}

  static void check(HttpMessage message) throws ProtocolException {
    int lengths = message.countHeaders(HttpHeaders.CONTENT_LENGTH);
    int encodings = message.countHeaders(HttpHeaders.TRANSFER_ENCODING);
    if (lengths + encodings > 1) {
      throw new ProtocolException(
          "ambiguous message length; send one Content-Length or one Transfer-Encoding");
    }
    Header length = message.getFirstHeader(HttpHeaders.CONTENT_LENGTH);
    if (length != null && !isNumber(length.getValue())) {
      throw new ProtocolException("Content-Length is not a number; send the length in bytes");
    }
    Header encoding = message.getFirstHeader(HttpHeaders.TRANSFER_ENCODING);
    if (encoding == null) {
      return;
    }
    if (!"chunked".equalsIgnoreCase(encoding.getValue().strip())) {
      throw new ProtocolException("unsupported Transfer-Encoding; send chunked");
    }
    if (message.getVersion() != null && message.getVersion().lessEquals(HttpVersion.HTTP_1_0)) {
      throw new ProtocolException("Transfer-Encoding in HTTP/1.0; send Content-Length");
    }
  }

  private static boolean isNumber(String text) {
    return NUMBER.matcher(text).matches();
  }
}
