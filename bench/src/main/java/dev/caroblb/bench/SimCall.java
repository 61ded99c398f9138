package dev.caroblb.bench;

/** State of a call during a run. */
final class SimCall {
  final int id;
  final Arrival arrival;
  final boolean measured;
  int engine = -1;
  int tokens;
  long lastTokenUs;
  boolean ended;

  SimCall(int id, Arrival arrival, boolean measured) {
    this.id = id;
    this.arrival = arrival;
    this.measured = measured;
    this.lastTokenUs = arrival.atUs();
  }

  long deadlineUs() {
    return arrival.atUs() + arrival.type().policy().defaultTimeoutMs() * 1_000;
  }
}
