/**
 * Routing tables: which service a request goes to and how it may be treated; how a numbered table
 * is accepted by the control group and reaches every instance.
 */
package dev.caroblb.routing;
