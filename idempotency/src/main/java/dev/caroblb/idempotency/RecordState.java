package dev.caroblb.idempotency;

import java.util.Optional;

/**
 * One key record, unpacked from the arrays of {@link KeyShard}.
 *
 * @param id hash of the key
 * @param digest digest of the call
 * @param holder attempt that holds or held the reservation
 * @param released whether the holder released the reservation
 * @param outcome stored outcome; empty while the call runs and after a release
 */
public record RecordState(
    Hash128 id,
    Hash128 digest,
    Attempt holder,
    boolean released,
    Optional<StoredOutcome> outcome) {}
