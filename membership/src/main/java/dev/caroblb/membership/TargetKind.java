package dev.caroblb.membership;

/** What a target serves. */
public enum TargetKind {
  ENGINE,
  SERVICE
}
