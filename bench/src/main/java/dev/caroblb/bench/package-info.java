/**
 * Compares placement policies on the same arrivals: engine models, arrivals, nine deciding
 * instances and one event loop. Time is simulated; a run is determined by its seed.
 */
package dev.caroblb.bench;
