/** MessagePack encoding of the routing state and of the messages between routing handlers. */
package dev.caroblb.routing.codec;
