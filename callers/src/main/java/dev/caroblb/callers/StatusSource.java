package dev.caroblb.callers;

/** State of the instance for operators. */
public interface StatusSource {
  /** The state as JSON. */
  String status();

  /** The metrics in Prometheus text format. */
  String metrics();
}
