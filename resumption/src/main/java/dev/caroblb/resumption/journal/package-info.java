/**
 * Stores the records of a control instance on its disk, so that they outlive a loss of all control
 * instances together with the entries that relay the streams.
 */
package dev.caroblb.resumption.journal;
