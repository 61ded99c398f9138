/** The command line program {@code caroblb} for operators, developers and publishing pipelines. */
package dev.caroblb.cli;
