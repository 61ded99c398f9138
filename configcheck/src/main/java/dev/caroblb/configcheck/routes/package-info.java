/** Rules for routing documents. */
package dev.caroblb.configcheck.routes;
