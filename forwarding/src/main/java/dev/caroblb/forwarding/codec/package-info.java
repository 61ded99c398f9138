/** MessagePack encoding of the messages between forwarding handlers. */
package dev.caroblb.forwarding.codec;
