package dev.caroblb.orders;

import java.util.Locale;

/** Counted event of the orders duty. */
public enum OrdersEvent {
  /** An order was passed to the sender. */
  ORDERED,
  /** The queue of the sender was full; the order is planned again. */
  ORDER_DELAYED,
  /** A read-back after the time limit of an order showed that it had no effect. */
  ORDER_LOST,
  /** An engine refused the fencing token. */
  TOKEN_REFUSED,
  /** The models of an engine changed without an outstanding order. */
  LATE_ORDER,
  /** An engine has accepted a greater token than that of this leader. */
  NEWER_LEADER_SEEN,
  /** A load was deferred by the rate limit of the weight store. */
  LOAD_DEFERRED;

  /** Name of the counter. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
