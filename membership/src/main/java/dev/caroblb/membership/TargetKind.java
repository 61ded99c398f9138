package dev.caroblb.membership;

/** Kind of a target. */
public enum TargetKind {
  ENGINE,
  SERVICE
}
