/**
 * Chooses the target of each call: state of the targets, estimates of output length, the predictive
 * policy and its baselines, and ejection of unhealthy targets. This package does no I/O and reads
 * no clock.
 */
package dev.caroblb.placement;
