package dev.caroblb.http;

import java.util.function.IntSupplier;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Checks the field lines of message heads; each head ends with an empty line. A head over its limit
 * is rejected as soon as it is, not at its end: HttpCore would collect up to the largest number of
 * the longest lines.
 */
final class HeadLines implements LineRule {
  private static final int LINE_END_BYTES = 2;

  private final IntSupplier maxFieldBytes;
  private boolean startLineRead;
  private int fieldBytes;

  /**
   * @param maxFieldBytes maximum size of the field lines of a head, in bytes
   */
  HeadLines(IntSupplier maxFieldBytes) {
    this.maxFieldBytes = maxFieldBytes;
  }

  @Override
  public void check(CharArrayBuffer line) throws MalformedMessageException {
    if (line.isEmpty()) {
      startLineRead = false;
      fieldBytes = 0;
      return;
    }
    if (startLineRead) {
      FieldLine.check(line);
      fieldBytes += line.length() + LINE_END_BYTES;
      if (fieldBytes > maxFieldBytes.getAsInt()) {
        throw new HeadTooLargeException(maxFieldBytes.getAsInt());
      }
    }
    startLineRead = true;
  }
}
