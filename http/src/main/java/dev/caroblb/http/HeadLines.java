package dev.caroblb.http;

import org.apache.hc.core5.util.CharArrayBuffer;

/** Checks the field lines of message heads; each head ends with an empty line. */
final class HeadLines implements LineRule {
  private boolean startLineRead;

  @Override
  public void check(CharArrayBuffer line) throws MalformedMessageException {
    if (line.isEmpty()) {
      startLineRead = false;
      return;
    }
    if (startLineRead) {
      FieldLine.check(line);
    }
    startLineRead = true;
  }
}
