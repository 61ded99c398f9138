/**
 * TCP connections between the instances of a cluster, carrying length-prefixed MessagePack frames.
 */
package dev.caroblb.transport;
