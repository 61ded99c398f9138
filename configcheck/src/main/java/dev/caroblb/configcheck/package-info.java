/** Rules that check a configuration before it is sent. They decide without I/O. */
package dev.caroblb.configcheck;
