/**
 * Routing tables, which map requests to services and their limits. The control group accepts
 * numbered versions of the table, which are then distributed to all instances.
 */
package dev.caroblb.routing;
