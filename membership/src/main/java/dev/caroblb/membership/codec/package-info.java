/** MessagePack encoding of the messages between the membership duties of two instances. */
package dev.caroblb.membership.codec;
