/**
 * Running calls of an entry instance, from dispatch to the final event: token order, resume,
 * cancel, backpressure and the rules for calls that run at most once.
 */
package dev.caroblb.streams;
