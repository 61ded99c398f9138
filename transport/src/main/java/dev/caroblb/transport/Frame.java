package dev.caroblb.transport;

import dev.caroblb.core.Payload;

/** One message of a slice. */
record Frame(Channel channel, Payload body) {}
