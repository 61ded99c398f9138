/** MessagePack encoding of the messages between replicas and of the member lists in the log. */
package dev.caroblb.agreement.codec;
