/**
 * Types every duty shares: the clock, bounded rings, duty threads, identifiers, refusal and retry
 * reasons, and the log line format. This package depends on the JDK only.
 */
package dev.caroblb.core;
