package dev.caroblb.idempotency;

/** Why the records of a key group do not admit a reservation. */
public enum KeyRefusal {
  /** The key belongs to a call with other contents. */
  REUSED,
  /** The key is older than the retention. */
  EXPIRED,
  /** The time in the key is too far ahead. */
  AHEAD,
  /** The group holds the most records it may. */
  FULL,
  /** The attempt had already released its reservation. */
  WITHDRAWN
}
