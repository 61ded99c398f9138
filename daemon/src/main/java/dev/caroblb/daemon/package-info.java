/** The binary {@code caroblbd}: wires the duties of one instance together. */
package dev.caroblb.daemon;
