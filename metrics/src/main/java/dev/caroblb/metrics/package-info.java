/** Metrics of an instance in the Prometheus text format. */
package dev.caroblb.metrics;
