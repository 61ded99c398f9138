package dev.caroblb.membership;

/** Whether an instance accepts new callers. */
public enum InstanceState {
  READY,
  DRAINING
}
