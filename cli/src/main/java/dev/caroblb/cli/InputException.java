package dev.caroblb.cli;

/** Signals invalid arguments or input files; the message says what is expected. */
final class InputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  InputException(String message) {
    super(message);
  }
}
