/**
 * Types that all duties share: the clock, bounded queues, duty threads, identifiers, refusal and
 * retry reasons, and the format of log lines. This package depends on the JDK only.
 */
package dev.caroblb.core;
