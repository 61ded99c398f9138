/**
 * Assigns targets to the generations of all instances, and queues them while no engine has room.
 */
package dev.caroblb.scheduling;
