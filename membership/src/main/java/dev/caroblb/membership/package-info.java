/**
 * Which instances and targets exist, which of them are alive, draining or leaving, and which
 * addresses callers are given.
 */
package dev.caroblb.membership;
