package dev.caroblb.membership;

/** Whether a target may get new work. */
enum TargetStatus {
  AVAILABLE,
  LEAVING,
  /** No announcement arrived in time; the target may be dead. */
  SILENT
}
