/** MessagePack format of the routing state and of the messages between routing duties. */
package dev.caroblb.routing.codec;
