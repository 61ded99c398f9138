/** Keeps to the number of requests that targets say they take from all instances together. */
package dev.caroblb.forwarding.limit;
