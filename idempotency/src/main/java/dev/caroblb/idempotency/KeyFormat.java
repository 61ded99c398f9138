package dev.caroblb.idempotency;

import dev.caroblb.core.Payload;
import java.util.Optional;

/** Encoding of the commands and results of the replicated state. */
public interface KeyFormat {
  Payload encode(KeyCommand command);

  /** Decodes a result of the state machine; empty when it is malformed. */
  Optional<KeyResult> decodeResult(Payload bytes);
}
