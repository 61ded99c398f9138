package dev.caroblb.orders;

/** Outcome of an order as known to its sender. */
public enum OrderOutcome {
  /** The engine confirmed the order. */
  ACCEPTED,
  /** The engine refused the fencing token as too old. */
  REFUSED_TOKEN,
  /** Nothing was sent. */
  NOT_SENT,
  /** The order may have reached the engine or may still reach it. */
  UNKNOWN
}
