package dev.caroblb.callers;

/** A request body is malformed; the message names the invalid field. */
final class MalformedBodyException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedBodyException(String message) {
    super(message);
  }
}
