package dev.caroblb.http;

import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.util.Timeout;

/**
 * Sets the idle limit of a connection once its request is sent: until then the library applies the
 * time limit for connecting.
 */
record IdleLimit(Timeout limit) implements Http1StreamListener {
  @Override
  public void onRequestHead(HttpConnection connection, HttpRequest request) {
    connection.setSocketTimeout(limit);
  }

  @Override
  public void onResponseHead(HttpConnection connection, HttpResponse response) {}

  @Override
  public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {}
}
