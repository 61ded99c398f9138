package dev.caroblb.callers;

/** Provides the state and metrics of the instance for operators. */
public interface StatusSource {
  /** The state as JSON. */
  String status();

  /** The metrics in Prometheus text format. */
  String metrics();
}
