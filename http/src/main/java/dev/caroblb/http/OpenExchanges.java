package dev.caroblb.http;

import dev.caroblb.core.MemoryAccount;
import java.util.Comparator;
import java.util.Optional;
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

  /**
   * Fails the exchanges with most output while the memory in use is above the limit of responses.
   * Complete responses are taken also beyond the bound of the account, but not without end.
   */
  void freeMemory(MemoryAccount account) {
    while (account.exceeded()) {
      Optional<ServerExchange> largest =
          exchanges.stream().max(Comparator.comparingInt(ServerExchange::outputBytes));
      if (largest.isEmpty() || largest.get().outputBytes() == 0) {
        return;
      }
      largest.get().dropOutput();
    }
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
