package dev.caroblb.http;

import java.net.SocketAddress;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.ssl.TransportSecurityLayer;
import org.apache.hc.core5.util.Timeout;

/**
 * Leaves all connections in plain text. Without a strategy, HttpCore reads the certificates of the
 * system when a client is created, which took half of the start of a process.
 */
final class NoTls implements TlsStrategy {
  @Override
  public void upgrade(
      TransportSecurityLayer session,
      NamedEndpoint endpoint,
      Object attachment,
      Timeout handshakeTimeout,
      FutureCallback<TransportSecurityLayer> callback) {
    if (callback != null) {
      callback.failed(new UnsupportedOperationException("TLS is not supported; use http"));
    }
  }

  @SuppressWarnings("deprecation")
  @Override
  public boolean upgrade(
      TransportSecurityLayer session,
      HttpHost host,
      SocketAddress localAddress,
      SocketAddress remoteAddress,
      Object attachment,
      Timeout handshakeTimeout) {
    return false;
  }
}
