/**
 * Calls that may not repeat: the replicated records of their idempotency keys, the leader of a key
 * group that proposes changes, and the entry instance that reserves a key before it dispatches.
 */
package dev.caroblb.idempotency;
