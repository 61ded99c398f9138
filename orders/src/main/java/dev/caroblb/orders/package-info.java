/**
 * Plans orders to engines to load and unload models, so that the reported state matches the needs.
 */
package dev.caroblb.orders;
