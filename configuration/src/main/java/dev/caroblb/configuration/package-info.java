/**
 * Accepted team files, the number in force and the configuration leases of entries. The classes of
 * this package do no I/O or encoding and read no clock.
 */
package dev.caroblb.configuration;
