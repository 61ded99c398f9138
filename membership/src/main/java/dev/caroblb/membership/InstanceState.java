package dev.caroblb.membership;

/** Whether new callers may be directed to an instance. */
public enum InstanceState {
  READY,
  DRAINING
}
