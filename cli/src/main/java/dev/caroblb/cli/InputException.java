package dev.caroblb.cli;

/** Arguments or input files that cannot be used; the message names the remedy. */
final class InputException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  InputException(String message) {
    super(message);
  }
}
