package dev.caroblb.http;

import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.util.Timeout;

/**
 * Counts the requests that the HTTP library answers with an error by itself, because their head was
 * malformed or over a limit; such requests reach no exchange and no exception callback. Lets a
 * connection idle only between requests and while a request head arrives.
 */
final class ExchangeMonitor implements Http1StreamListener {
  private static final int FIRST_ERROR = 400;

  /** Longer than any deadline, since a call may wait for its answer without traffic. */
  private static final Timeout ANSWER_TIMEOUT = Timeout.ofHours(25);

  /** After a last answer the caller has this time to take it and to stop sending. */
  private static final Timeout LAST_TIMEOUT = Timeout.ofMilliseconds(500);

  private final ListenerObserver observer;
  private final Timeout requestTimeout;

  ExchangeMonitor(ListenerObserver observer, long requestTimeMs) {
    this.observer = observer;
    this.requestTimeout = Timeout.ofMilliseconds(requestTimeMs);
  }

  @Override
  public void onRequestHead(HttpConnection connection, HttpRequest request) {
    connection.setSocketTimeout(ANSWER_TIMEOUT);
  }

  @Override
  public void onResponseHead(HttpConnection connection, HttpResponse response) {
    if (response.getCode() >= FIRST_ERROR && !(response instanceof ExchangeResponse)) {
      observer.rejected(response.getCode());
    }
  }

  @Override
  public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
    connection.setSocketTimeout(keepAlive ? requestTimeout : LAST_TIMEOUT);
  }
}
