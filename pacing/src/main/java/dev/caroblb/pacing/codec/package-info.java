/** Encoding of what instances tell each other about the request limits of targets. */
package dev.caroblb.pacing.codec;
