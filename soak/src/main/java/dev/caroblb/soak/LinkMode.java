package dev.caroblb.soak;

/** How a {@link LinkRelay} treats the data on a link between two instances. */
enum LinkMode {
  /** Forwards data without delay. */
  PASS,
  /** Forwards data after a delay. */
  DELAY,
  /** Keeps connections open and forwards no data in either direction. */
  SILENT,
  /** Forwards data only towards the instance that opened the connection. */
  ONE_WAY,
  /** Resets open and new connections. */
  RESET
}
