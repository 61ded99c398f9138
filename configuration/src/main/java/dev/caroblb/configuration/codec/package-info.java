/** MessagePack forms of the configuration's replicated commands, snapshots and peer messages. */
package dev.caroblb.configuration.codec;
