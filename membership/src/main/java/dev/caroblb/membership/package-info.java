/**
 * Tracks which instances and targets exist, which of them are alive, draining or leaving, and which
 * addresses are given to callers.
 */
package dev.caroblb.membership;
