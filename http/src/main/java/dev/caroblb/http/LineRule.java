package dev.caroblb.http;

import org.apache.hc.core5.util.CharArrayBuffer;

/** Checks the lines of a sequence of heads, or of one body, in the order of their arrival. */
interface LineRule {
  /** Checks a line without its line end. */
  void check(CharArrayBuffer line) throws MalformedMessageException;
}
