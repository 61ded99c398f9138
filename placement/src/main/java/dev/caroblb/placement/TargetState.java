package dev.caroblb.placement;

/** Whether a target may receive new work. */
public enum TargetState {
  AVAILABLE,
  LEAVING,
  GONE
}
