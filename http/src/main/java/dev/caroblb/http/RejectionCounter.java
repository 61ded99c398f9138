package dev.caroblb.http;

import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;

/**
 * Counts the requests that the HTTP library answers with an error by itself, because their head was
 * malformed or over a limit. Such requests reach no exchange and no exception callback.
 */
final class RejectionCounter implements Http1StreamListener {
  private static final int FIRST_ERROR = 400;

  private final ListenerObserver observer;

  RejectionCounter(ListenerObserver observer) {
    this.observer = observer;
  }

  @Override
  public void onRequestHead(HttpConnection connection, HttpRequest request) {}

  @Override
  public void onResponseHead(HttpConnection connection, HttpResponse response) {
    if (response.getCode() >= FIRST_ERROR && !(response instanceof ExchangeResponse)) {
      observer.rejected(response.getCode());
    }
  }

  @Override
  public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {}
}
