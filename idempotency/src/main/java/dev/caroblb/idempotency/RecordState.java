package dev.caroblb.idempotency;

import java.util.Optional;

/**
 * One record of a key group in its readable form.
 *
 * @param id identity of the key
 * @param digest digest of the call
 * @param holder attempt that holds or held the reservation
 * @param released whether the attempt gave the reservation up
 * @param outcome stored outcome, empty while the call runs or after a release
 */
public record RecordState(
    Hash128 id,
    Hash128 digest,
    Attempt holder,
    boolean released,
    Optional<StoredOutcome> outcome) {}
