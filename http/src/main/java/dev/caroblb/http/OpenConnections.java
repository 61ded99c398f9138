package dev.caroblb.http;

import java.net.SocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * Open connections of a connector by local address. Discarding a connection through HttpCore leaves
 * it open while a response is pending, so that the peer continues to process the request.
 */
final class OpenConnections implements IOSessionListener {
  private final Map<SocketAddress, IOSession> sessions = new ConcurrentHashMap<>();

  /** Local addresses by session id; a closed session no longer returns its address. */
  private final Map<String, SocketAddress> addresses = new ConcurrentHashMap<>();

  /** Closes a connection immediately, also during an exchange. */
  void close(SocketAddress local) {
    Optional.ofNullable(sessions.remove(local))
        .ifPresent(session -> session.close(CloseMode.IMMEDIATE));
  }

  @Override
  public void connected(IOSession session) {
    SocketAddress local = session.getLocalAddress();
    if (local != null) {
      sessions.put(local, session);
      addresses.put(session.getId(), local);
    }
  }

  @Override
  public void disconnected(IOSession session) {
    Optional.ofNullable(addresses.remove(session.getId()))
        .ifPresent(local -> sessions.remove(local, session));
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
