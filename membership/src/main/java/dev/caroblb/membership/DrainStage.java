package dev.caroblb.membership;

/** Steps of the planned stop of this instance, in their order. */
public enum DrainStage {
  /** Callers no longer learn the address; new calls are still accepted. */
  ANNOUNCED,
  /** Callers that kept the address have let it expire; new calls may be refused. */
  REFUSE_NEW_CALLS,
  /** Calls that still run are ended with a final event. */
  LIMIT_REACHED
}
