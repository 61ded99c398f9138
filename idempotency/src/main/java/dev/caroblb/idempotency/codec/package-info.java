/**
 * MessagePack encoding of the messages between entries and leaders, of the commands in the log and
 * of snapshots, and the state machine that agreement replicates.
 */
package dev.caroblb.idempotency.codec;
