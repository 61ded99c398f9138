package dev.caroblb.membership;

/** Stages of the planned stop of this instance, in order. */
public enum DrainStage {
  /** The address is no longer given to callers; new calls are still accepted. */
  ANNOUNCED,
  /** The address has expired at callers that had cached it; new calls may be refused. */
  REFUSE_NEW_CALLS,
  /** The time limit has passed; calls that still run are ended with a final event. */
  LIMIT_REACHED
}
