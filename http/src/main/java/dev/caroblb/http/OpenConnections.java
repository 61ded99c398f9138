package dev.caroblb.http;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * Open connections of a connector by their addresses. Discarding a connection through HttpCore
 * leaves it open while a response is pending, so that the peer continues to process the request.
 */
final class OpenConnections implements IOSessionListener {
  private final Map<ConnectionAddresses, IOSession> sessions = new ConcurrentHashMap<>();

  /** Addresses by session id; a closed session no longer returns its local address. */
  private final Map<String, ConnectionAddresses> addresses = new ConcurrentHashMap<>();

  /** Closes a connection immediately, also during an exchange. */
  void close(ConnectionAddresses connection) {
    Optional.ofNullable(sessions.remove(connection))
        .ifPresent(session -> session.close(CloseMode.IMMEDIATE));
  }

  @Override
  public void connected(IOSession session) {
    if (session.getLocalAddress() == null) {
      return;
    }
    ConnectionAddresses connection =
        new ConnectionAddresses(session.getLocalAddress(), session.getRemoteAddress());
    sessions.put(connection, session);
    addresses.put(session.getId(), connection);
  }

  @Override
  public void disconnected(IOSession session) {
    Optional.ofNullable(addresses.remove(session.getId()))
        .ifPresent(connection -> sessions.remove(connection, session));
  }

  @Override
  public void startTls(IOSession session) {}

  @Override
  public void inputReady(IOSession session) {}

  @Override
  public void outputReady(IOSession session) {}

  @Override
  public void timeout(IOSession session) {}

  @Override
  public void exception(IOSession session, Exception cause) {}
}
