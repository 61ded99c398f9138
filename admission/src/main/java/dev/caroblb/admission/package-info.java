/**
 * Decides whether a call starts now, waits or is refused, and whether a failed one is sent again:
 * bounded queues by workspace and class, shares, lanes, deadlines and the retry budget.
 */
package dev.caroblb.admission;
