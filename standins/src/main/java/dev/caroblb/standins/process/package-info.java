/** Processes that replace model engines and plain services in demos and tests. */
package dev.caroblb.standins.process;
