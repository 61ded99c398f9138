/** MessagePack format of the messages between replicas and of member lists in the log. */
package dev.caroblb.agreement.codec;
