/**
 * Decides whether a call starts, waits or is refused, and whether a failed call is retried. Covers
 * bounded queues per workspace and class, fair shares, deadlines and the retry budget.
 */
package dev.caroblb.admission;
