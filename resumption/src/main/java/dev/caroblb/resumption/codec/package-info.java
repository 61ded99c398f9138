/** Encoding of the messages about begun streams. */
package dev.caroblb.resumption.codec;
