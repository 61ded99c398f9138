/**
 * Forwards requests to targets according to the active routing table: target selection, attempts
 * and the retry budget, timeouts, and migration of streams to another target.
 */
package dev.caroblb.forwarding;
