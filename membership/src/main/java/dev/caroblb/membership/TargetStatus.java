package dev.caroblb.membership;

/** Whether a target may get new work. */
enum TargetStatus {
  AVAILABLE,
  LEAVING,
  /** Nothing was heard of the target in time; it may be dead. */
  SILENT
}
