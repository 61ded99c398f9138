package dev.caroblb.http;

import java.net.SocketAddress;

/**
 * Identifies an open connection. The local address alone is not unique: the kernel uses one local
 * port for connections to different remote addresses.
 */
record ConnectionAddresses(SocketAddress local, SocketAddress remote) {}
