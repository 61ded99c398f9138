package dev.caroblb.core;

/** Whether a call is expected to give a short or a long answer; short ones have their own lane. */
public enum CallClass {
  SHORT,
  LONG
}
