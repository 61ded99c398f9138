/** Soak test: injects random faults into a system of real processes and checks its guarantees. */
package dev.caroblb.soak;
