package dev.caroblb.forwarding;

/** How far the response to an attempt has come. */
enum AttemptProgress {
  /** Nothing was received. */
  NONE,
  /** The head was received. */
  HEAD,
  /** At least one complete event of a stream, or a part of another body, was received. */
  CONTENT
}
