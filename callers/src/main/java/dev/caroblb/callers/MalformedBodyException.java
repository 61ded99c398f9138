package dev.caroblb.callers;

/** A request body that cannot be decoded; the message names the field at fault. */
final class MalformedBodyException extends Exception {
  private static final long serialVersionUID = 1L;

  MalformedBodyException(String message) {
    super(message);
  }
}
