package dev.caroblb.http;

/** A message head has more bytes than its limit. */
final class HeadTooLargeException extends MalformedMessageException {
  private static final long serialVersionUID = 1L;

  HeadTooLargeException(int maxBytes) {
    super("the head is longer than " + maxBytes + " bytes; send fewer headers");
  }
}
