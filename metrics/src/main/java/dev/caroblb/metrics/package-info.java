/** Figures of an instance as Prometheus text. */
package dev.caroblb.metrics;
