/**
 * Orders to engines: which models to load and unload so that the reported state follows the needs.
 */
package dev.caroblb.orders;
