package dev.caroblb.routing;

/** How often a request of a route may run. */
public enum RepeatRule {
  /** It may run any number of times. */
  REPEATABLE,
  /** It may run once at most. */
  ONCE,
  /** Its answer is a stream of events, which may run once unless the route may be resumed. */
  STREAM
}
