package dev.caroblb.forwarding;

/** Upper estimate of the time between the send of a request and the end of its response. */
interface DurationEstimate {
  /** Returns the estimate in milliseconds for a request that has not been sent yet. */
  long upperMs(Exchange exchange);
}
