/** HTTP/1.1 listener and connector on top of HttpCore's reactor, and the event stream format. */
package dev.caroblb.http;
