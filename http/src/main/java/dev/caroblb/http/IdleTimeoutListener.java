package dev.caroblb.http;

import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.util.Timeout;

/**
 * Sets the idle timeout of a connection once its request is sent; until then HttpCore applies the
 * connect timeout.
 */
record IdleTimeoutListener(Timeout timeout) implements Http1StreamListener {
  @Override
  public void onRequestHead(HttpConnection connection, HttpRequest request) {
    connection.setSocketTimeout(timeout);
  }

  @Override
  public void onResponseHead(HttpConnection connection, HttpResponse response) {}

  @Override
  public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {}
}
