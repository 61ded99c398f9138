/**
 * Raft-style consensus among the instances with a data folder: elections, log replication, leader
 * leases, snapshots and membership changes.
 */
package dev.caroblb.agreement;
