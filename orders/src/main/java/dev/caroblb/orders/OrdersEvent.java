package dev.caroblb.orders;

import java.util.Locale;

/** Event of the orders duty that is counted. */
public enum OrdersEvent {
  /** An order was handed to the sender. */
  ORDERED,
  /** The sender had no room for an order; it is planned again. */
  ORDER_DELAYED,
  /** An order had no effect by the time of a later read-back. */
  ORDER_LOST,
  /** An engine refused the fencing token. */
  TOKEN_REFUSED,
  /** An engine changed its models without an order that is outstanding. */
  LATE_ORDER,
  /** An engine accepted a greater token than that of this leader. */
  NEWER_LEADER_SEEN,
  /** A load waits for the rate limit of the weight store. */
  LOAD_DEFERRED;

  /** Name of the counter. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
