package dev.caroblb.placement;

/** Whether a target may receive new work. */
public enum TargetState {
  AVAILABLE,
  /** Its failure domain is evacuated: it gets no new work until the order is withdrawn. */
  EVACUATED,
  LEAVING,
  GONE
}
