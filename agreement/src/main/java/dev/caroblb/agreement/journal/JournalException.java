package dev.caroblb.agreement.journal;

import java.nio.file.Path;

/** Propagates a {@link JournalError} within this package. */
final class JournalException extends Exception {
  private static final long serialVersionUID = 1L;

  private final transient JournalError error;

  JournalException(JournalError.Kind kind, Path file, long offset, String detail) {
    super(detail);
    this.error = new JournalError(kind, file, offset, detail);
  }

  JournalError error() {
    return error;
  }
}
