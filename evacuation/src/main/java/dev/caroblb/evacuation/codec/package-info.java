/** MessagePack encoding of the evacuation state and of its messages between instances. */
package dev.caroblb.evacuation.codec;
