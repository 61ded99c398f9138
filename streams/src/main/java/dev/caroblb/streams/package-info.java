/**
 * Runs the calls of an entry instance from dispatch to the final event: token order, resume,
 * cancel, backpressure and idempotency keys.
 */
package dev.caroblb.streams;
