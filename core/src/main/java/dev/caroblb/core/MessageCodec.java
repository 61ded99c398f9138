package dev.caroblb.core;

import java.util.Optional;

/** Encodes the messages that one slice exchanges between instances. */
public interface MessageCodec<M> {
  Payload encode(M message);

  /** Decodes a message; empty when the bytes are malformed or of an unknown version. */
  Optional<M> decode(Payload bytes);
}
