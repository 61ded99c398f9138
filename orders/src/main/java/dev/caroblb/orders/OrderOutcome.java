package dev.caroblb.orders;

/** What the sender of an order learnt about it. */
public enum OrderOutcome {
  /** The engine confirmed that it took the order. */
  ACCEPTED,
  /** The engine refused the fencing token as too old. */
  REFUSED_TOKEN,
  /** Nothing was sent. */
  NOT_SENT,
  /** The order may have reached the engine, or may still reach it. */
  UNKNOWN
}
