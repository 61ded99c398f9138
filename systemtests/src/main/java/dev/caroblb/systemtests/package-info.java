/** Runs the demo and the failure tests with real processes on loopback addresses. */
package dev.caroblb.systemtests;
