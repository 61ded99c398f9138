/** Reading of MessagePack values from other instances, shared by the codecs of all slices. */
package dev.caroblb.transport.codec;
