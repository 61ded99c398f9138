/** HTTP client of targets: sends calls and orders to engines and services, decodes answers. */
package dev.caroblb.engines;
