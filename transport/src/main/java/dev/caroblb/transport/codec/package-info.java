/** Reading and writing of MessagePack values, shared by the codecs of all modules. */
package dev.caroblb.transport.codec;
