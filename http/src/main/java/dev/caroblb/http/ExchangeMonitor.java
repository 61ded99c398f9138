package dev.caroblb.http;

import java.util.function.Supplier;
import org.apache.hc.core5.http.HttpConnection;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.util.Timeout;

/**
 * Counts requests to which HttpCore itself responds with an error because the head is malformed or
 * over a limit; these reach no exchange and no exception callback. Also sets the socket timeout for
 * each state of a connection: the idle timeout applies only between requests and while a request
 * head is received.
 */
final class ExchangeMonitor implements Http1StreamListener {
  private static final int MIN_ERROR_STATUS = 400;

  /** Exceeds every deadline, since a call may wait for its response without traffic. */
  static final Timeout RESPONSE_TIMEOUT = Timeout.ofHours(25);

  /**
   * Time without progress in which the caller must read on in the last response of a connection, or
   * stop sending. A caller that reads 128 KiB each 300 ms lets the connection stand still for more
   * than 500 ms at a time.
   */
  private static final Timeout CLOSING_TIMEOUT = Timeout.ofSeconds(5);

  private final ListenerObserver observer;
  private final Supplier<RequestLimits> limits;

  ExchangeMonitor(ListenerObserver observer, Supplier<RequestLimits> limits) {
    this.observer = observer;
    this.limits = limits;
  }

  @Override
  public void onRequestHead(HttpConnection connection, HttpRequest request) {
    connection.setSocketTimeout(RESPONSE_TIMEOUT);
  }

  @Override
  public void onResponseHead(HttpConnection connection, HttpResponse response) {
    if (response.getCode() >= MIN_ERROR_STATUS && !(response instanceof ExchangeResponse)) {
      observer.rejected(response.getCode());
    }
  }

  @Override
  public void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
    connection.setSocketTimeout(
        keepAlive ? Timeout.ofMilliseconds(limits.get().idleTimeoutMs()) : CLOSING_TIMEOUT);
  }
}
