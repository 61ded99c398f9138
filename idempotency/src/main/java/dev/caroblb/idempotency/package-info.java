/**
 * At-most-once execution of calls with an idempotency key. The records of the keys are replicated
 * in key groups; the leader of a group proposes changes to them, and an entry instance reserves a
 * key before it dispatches the call.
 */
package dev.caroblb.idempotency;
