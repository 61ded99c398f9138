/** Consensus among the instances with a data folder: elections, log replication, leases. */
package dev.caroblb.agreement;
