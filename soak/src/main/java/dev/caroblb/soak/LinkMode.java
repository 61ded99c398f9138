package dev.caroblb.soak;

/** What happens to the bytes of a link between two instances. */
enum LinkMode {
  /** Bytes pass at once. */
  PASS,
  /** Bytes pass after a pause. */
  DELAY,
  /** Connections stay open and nothing passes in either direction. */
  SILENT,
  /** Nothing passes from the instance that connected; the other direction passes. */
  ONE_WAY,
  /** Open connections are reset, and so are new ones. */
  RESET
}
