package dev.caroblb.http;

import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Checks the lines of a chunked body (RFC 9112, section 7.1). HttpCore reads a size with a sign,
 * and skips a size of -1.
 */
final class ChunkLines implements LineRule {
  /** A size that fits into a long, and extensions, which are ignored. */
  private static final Pattern SIZE =
      Pattern.compile("0*([0-9A-Fa-f]{1,15})([ \\t]*;[\\t\\x20-\\x7e\\x80-\\xff]*)?");

  private static final String LAST_SIZE = "0";

  private enum Part {
    SIZE,
    END_OF_DATA,
    TRAILERS
  }

  private Part next = Part.SIZE;

  @Override
  public void check(CharArrayBuffer line) throws MalformedMessageException {
    switch (next) {
      case SIZE -> next = partAfterSize(line);
      case END_OF_DATA -> {
        checkEndOfData(line);
        next = Part.SIZE;
      }
      case TRAILERS -> checkTrailer(line);
    }
  }

  private static Part partAfterSize(CharArrayBuffer line) throws MalformedMessageException {
    Matcher size = SIZE.matcher(line);
    if (!size.matches()) {
      throw new MalformedMessageException(
          "the size of a chunk is not a hexadecimal number; send the number of bytes");
    }
    return LAST_SIZE.equals(size.group(1)) ? Part.TRAILERS : Part.END_OF_DATA;
  }

  private static void checkEndOfData(CharArrayBuffer line) throws MalformedMessageException {
    if (!line.isEmpty()) {
      throw new MalformedMessageException(
          "a chunk is longer than its size; send the number of bytes");
    }
  }

  private static void checkTrailer(CharArrayBuffer line) throws MalformedMessageException {
    if (!line.isEmpty()) {
      FieldLine.check(line);
    }
  }
}
