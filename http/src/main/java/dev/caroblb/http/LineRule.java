package dev.caroblb.http;

import org.apache.hc.core5.util.CharArrayBuffer;

/** Checks the lines of one connection in the order in which they are received. */
interface LineRule {
  /** Checks a line without its line end. */
  void check(CharArrayBuffer line) throws MalformedMessageException;
}
