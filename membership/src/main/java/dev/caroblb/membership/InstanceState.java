package dev.caroblb.membership;

/** Whether new callers may be directed to an instance. */
public enum InstanceState {
  READY,
  DRAINING,
  /**
   * Refuses new calls for now, for example because it has no configuration lease or knows no
   * targets.
   */
  NOT_ADMITTING
}
