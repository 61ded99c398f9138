package dev.caroblb.idempotency;

/**
 * Bounds of the state of a key group; equal on all its replicas.
 *
 * @param maxRecords most records at a time
 * @param maxOutcomeBytes most bytes of stored outcomes; beyond it only the status is stored
 */
public record KeyLimits(int maxRecords, long maxOutcomeBytes) {
  public static final KeyLimits DEFAULT = new KeyLimits(2_000_000, 1L << 30);
}
