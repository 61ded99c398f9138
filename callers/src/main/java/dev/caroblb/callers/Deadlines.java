package dev.caroblb.callers;

import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.http.IncomingRequest;
import io.vavr.control.Either;
import java.util.Optional;

/** Reads the deadline header of a request. */
final class Deadlines {
  static final String HEADER = "Caroblb-Deadline-Ms";

  private static final long MAX_TIMEOUT_MS = 24L * 60 * 60 * 1_000;

  private Deadlines() {}

  static Either<Refusal, Long> timeoutMs(IncomingRequest request, long defaultMs) {
    Optional<String> text = request.header(HEADER);
    if (text.isEmpty()) {
      return Either.right(defaultMs);
    }
    try {
      long ms = Long.parseLong(text.get());
      if (ms >= 1 && ms <= MAX_TIMEOUT_MS) {
        return Either.right(ms);
      }
    } catch (NumberFormatException e) {
      // Handled below like a number out of range.
    }
    return Either.left(
        Refusal.of(
            RefusalReason.MALFORMED,
            HEADER + " is \"" + text.get() + "\" but must be 1 to " + MAX_TIMEOUT_MS + " ms"));
  }
}
