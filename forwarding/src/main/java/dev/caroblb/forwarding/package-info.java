/**
 * Forwards requests to targets according to the active routing table: target selection, attempts
 * and the retry budget, timeouts, and moves of streams to another target.
 */
package dev.caroblb.forwarding;
