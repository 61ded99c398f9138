package dev.caroblb.idempotency;

/** Reason why a key group rejects a reservation. */
public enum KeyRefusal {
  /** The key was used for a call with different contents. */
  REUSED,
  /** The key is older than the retention time. */
  EXPIRED,
  /** The time in the key is too far in the future. */
  IN_FUTURE,
  /** The group has its maximum number of records. */
  FULL,
  /** The same attempt has already released the key. */
  ALREADY_RELEASED
}
