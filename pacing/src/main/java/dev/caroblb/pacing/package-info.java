/** Rate at which targets may get requests from all instances together. */
package dev.caroblb.pacing;
