/** MessagePack encoding of configuration commands, their results, snapshots and peer messages. */
package dev.caroblb.configuration.codec;
