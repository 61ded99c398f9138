/** Encoding of the messages with which instances request targets. */
package dev.caroblb.scheduling.codec;
