/**
 * Accepted team files, the number in force and the configuration leases of entries. Decisions have
 * no I/O, no encoding and read no clock.
 */
package dev.caroblb.configuration;
