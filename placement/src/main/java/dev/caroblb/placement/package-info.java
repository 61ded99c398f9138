/**
 * Chooses the target of each call: load views, estimates of output length, baseline policies and
 * the predictive policy, and ejection of targets by evidence. Nothing here does I/O or reads a
 * clock.
 */
package dev.caroblb.placement;
