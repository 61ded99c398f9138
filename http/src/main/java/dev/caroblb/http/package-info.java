/**
 * HTTP/1.1 listener and connector on top of the HttpCore reactor, and parsing and encoding of
 * server-sent events.
 */
package dev.caroblb.http;
