package dev.caroblb.idempotency;

import dev.caroblb.core.Payload;
import java.util.Optional;

/** Encoding of the commands and results of the replicated state machine. */
public interface KeyFormat {
  Payload encode(KeyCommand command);

  /** Decodes a result; empty if it is malformed. */
  Optional<KeyResult> decodeResult(Payload bytes);
}
