package dev.caroblb.http;

import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * The grammar of a field line (RFC 9112, section 5; RFC 9110, section 5). HttpCore reads any line
 * with a colon as a field, and appends a line that begins with a blank to the field before it. A
 * damaged Content-Length would thus become another field, and the body would lose its length.
 */
final class FieldLine {
  private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";
  private static final int ASCII = 128;
  private static final int FIRST_PRINTABLE = 0x20;
  private static final int DELETE = 0x7f;
  private static final boolean[] TOKEN = tokenBytes();

  private FieldLine() {}

  private static boolean[] tokenBytes() {
    boolean[] token = new boolean[ASCII];
    for (char c = 0; c < ASCII; c++) {
      boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
      boolean digit = c >= '0' && c <= '9';
      token[c] = letter || digit || TOKEN_PUNCTUATION.indexOf(c) >= 0;
    }
    return token;
  }

  static void check(CharArrayBuffer line) throws MalformedMessageException {
    int colon = line.indexOf(':');
    if (colon <= 0) {
      throw new MalformedMessageException("a header line has no name; send a name and a colon");
    }
    for (int i = 0; i < colon; i++) {
      char c = line.charAt(i);
      if (c >= ASCII || !TOKEN[c]) {
        throw new MalformedMessageException(
            String.format("the name of a header field has byte 0x%02x; send a token", (int) c));
      }
    }
    for (int i = colon + 1; i < line.length(); i++) {
      char c = line.charAt(i);
      if (isControl(c)) {
        throw new MalformedMessageException(
            String.format("a header field has control byte 0x%02x; send text", (int) c));
      }
    }
  }

  /** Whether a byte is a control byte other than the tab, which is allowed in field values. */
  private static boolean isControl(char c) {
    return (c < FIRST_PRINTABLE && c != '\t') || c == DELETE;
  }
}
