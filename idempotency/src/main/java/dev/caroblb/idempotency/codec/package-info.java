/**
 * MessagePack encoding of messages between entries and leaders, of log commands and of snapshots;
 * also the state machine that the agreement module replicates.
 */
package dev.caroblb.idempotency.codec;
