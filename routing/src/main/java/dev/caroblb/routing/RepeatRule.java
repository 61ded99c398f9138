package dev.caroblb.routing;

/** How often a request of a route may run. */
public enum RepeatRule {
  /** It may run any number of times. */
  REPEATABLE,
  /** It may run at most once. */
  ONCE,
  /** Its response is an event stream; it may run at most once unless the route is resumable. */
  STREAM
}
