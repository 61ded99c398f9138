package dev.caroblb.core;

import java.util.Optional;

/** Codec for the messages that one module exchanges between instances. */
public interface MessageCodec<M> {
  Payload encode(M message);

  /** Decodes a message; empty if the bytes are malformed or their version is unknown. */
  Optional<M> decode(Payload bytes);
}
