package dev.caroblb.idempotency;

/**
 * Limits of the state of a key group; must be equal on all its replicas.
 *
 * @param maxRecords maximum number of records
 * @param maxOutcomeBytes maximum total bytes of stored outcomes; beyond it only the status of an
 *     outcome is stored
 */
public record KeyLimits(int maxRecords, long maxOutcomeBytes) {
  public static final KeyLimits DEFAULT = new KeyLimits(2_000_000, 1L << 30);
}
