package dev.caroblb.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.http.ConnectionClosedException;

/**
 * Exchanges of a listener whose responses are not complete. HttpCore may end its threads after it
 * closed a connection, but before it told the exchange on it.
 */
final class OpenExchanges {
  private final Set<ServerExchange> exchanges = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  void add(ServerExchange exchange) {
    exchanges.add(exchange);
    if (closed) {
      close();
    }
  }

  void remove(ServerExchange exchange) {
    exchanges.remove(exchange);
  }

  int size() {
    return exchanges.size();
  }

  /** Fails the exchanges that are left; call after the connections were closed. */
  void close() {
    closed = true;
    for (ServerExchange exchange : exchanges) {
      exchange.failed(new ConnectionClosedException("the listener was closed"));
    }
  }
}
