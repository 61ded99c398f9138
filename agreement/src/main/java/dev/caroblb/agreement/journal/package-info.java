/**
 * Durable storage of log entries, votes and snapshots of the consensus groups in the data folder.
 */
package dev.caroblb.agreement.journal;
