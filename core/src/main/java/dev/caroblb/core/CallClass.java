package dev.caroblb.core;

/** Expected length of the answer to a call; admission queues short calls in their own lane. */
public enum CallClass {
  SHORT,
  LONG
}
