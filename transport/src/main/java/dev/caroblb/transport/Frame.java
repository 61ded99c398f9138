package dev.caroblb.transport;

import dev.caroblb.core.Payload;

/** One message of a module to the same module of another instance. */
record Frame(Channel channel, Payload body) {}
