/** Plans orders to engines to load and unload models, so that they hold the wanted models. */
package dev.caroblb.orders;
