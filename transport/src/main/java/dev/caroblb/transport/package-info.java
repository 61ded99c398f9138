/** Framed MessagePack connections between the instances of one system. */
package dev.caroblb.transport;
