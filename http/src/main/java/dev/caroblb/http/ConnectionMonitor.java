package dev.caroblb.http;

import java.util.function.Consumer;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.util.Timeout;

/**
 * Sets the idle timeout of a connection once its request is sent; until then HttpCore applies the
 * connect timeout. Closes a connection on which interim responses (1xx) arrive without end, since
 * HttpCore passes only some of them on to the exchange.
 *
 * @param connectionCloser immediately closes a connection; HttpCore's own close has no effect while
 *     bytes arrive
 */
record ConnectionMonitor(Timeout idleTimeout, Consumer<ConnectionAddresses> connectionCloser)
    implements Http1StreamListener {
  private static final int FIRST_FINAL_STATUS = 200;

  /** Limit of the bytes of all interim responses to one request. */
  private static final long MAX_INTERIM_BYTES = 65_536;

  @Override
  public void onRequestHead(HttpConnection connection, HttpRequest request) {
    connection.setSocketTimeout(idleTimeout);
  }

  @Override
  public void onResponseHead(HttpConnection connection, HttpResponse response) {
    boolean interim = response.getCode() < FIRST_FINAL_STATUS;
    if (interim && connection.getEndpointDetails().getReceivedBytesCount() > MAX_INTERIM_BYTES) {
      connectionCloser.accept(
          new ConnectionAddresses(connection.getLocalAddress(), connection.getRemoteAddress()));
    }
  }

  @Override
  public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {}
}
