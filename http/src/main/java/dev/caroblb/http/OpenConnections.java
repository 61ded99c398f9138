package dev.caroblb.http;

import java.net.SocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.IOSessionListener;

/**
 * Connections of a connector by their local address. Discarding a connection through the library
 * leaves it open while an answer is due, and the peer works on.
 */
final class OpenConnections implements IOSessionListener {
  private final Map<SocketAddress, IOSession> sessions = new ConcurrentHashMap<>();

  /** Local addresses by session; a closed session no longer knows its own. */
  private final Map<String, SocketAddress> addresses = new ConcurrentHashMap<>();

  /** Closes a connection whatever is under way on it. */
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
