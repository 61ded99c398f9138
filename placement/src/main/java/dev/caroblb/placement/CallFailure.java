package dev.caroblb.placement;

/** How a dispatched call failed, as evidence about its target. */
public enum CallFailure {
  CONNECT_FAILED(2.0),
  CONNECTION_LOST(1.0),
  STALLED(1.5),
  /** The target refused the call, which may only mean that it is busy. */
  TARGET_REFUSED(0.25),
  /** The caller cancelled the call, which is no evidence about the target. */
  CANCELLED(0.0);

  private final double evidence;

  CallFailure(double evidence) {
    this.evidence = evidence;
  }

  /** Weight of one such failure; a target is ejected at {@link EjectionRule#EJECTION_THRESHOLD}. */
  double evidence() {
    return evidence;
  }
}
