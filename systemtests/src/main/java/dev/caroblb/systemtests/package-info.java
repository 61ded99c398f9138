/** Starts real processes on loopback for the demo and for failure tests. */
package dev.caroblb.systemtests;
