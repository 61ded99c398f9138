/** The command line program {@code caroblb} for operators and publishing steps. */
package dev.caroblb.cli;
