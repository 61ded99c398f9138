/** MessagePack format of the messages between forwarding duties. */
package dev.caroblb.forwarding.codec;
