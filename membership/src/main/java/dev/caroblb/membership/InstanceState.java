package dev.caroblb.membership;

/** Whether an instance offers itself to new callers. */
public enum InstanceState {
  READY,
  DRAINING
}
