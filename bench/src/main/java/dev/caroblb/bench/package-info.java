/**
 * Discrete-event simulation that compares placement policies on the same arrivals: engine models,
 * nine instances that run admission and placement, and one event queue. A run is determined by its
 * seed.
 */
package dev.caroblb.bench;
