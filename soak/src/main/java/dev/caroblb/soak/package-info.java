/** Randomized faults against a system of real processes, and the promises checked meanwhile. */
package dev.caroblb.soak;
