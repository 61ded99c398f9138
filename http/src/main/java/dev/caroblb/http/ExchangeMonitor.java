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
 * each state of its connection: the idle timeout applies only while no request of the connection
 * waits for the end of its response. A caller may send requests before the previous response.
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
  private final CallerSession session;

  /** Requests whose responses are not complete. */
  private int openRequests;

  ExchangeMonitor(
      ListenerObserver observer, Supplier<RequestLimits> limits, CallerSession session) {
    this.observer = observer;
    this.limits = limits;
    this.session = session;
  }

  @Override
  public synchronized void onRequestHead(HttpConnection connection, HttpRequest request) {
    openRequests++;
    session.openRequests(openRequests);
    connection.setSocketTimeout(RESPONSE_TIMEOUT);
  }

  @Override
  public void onResponseHead(HttpConnection connection, HttpResponse response) {
    if (response.getCode() >= MIN_ERROR_STATUS && !(response instanceof ExchangeResponse)) {
      observer.rejected(response.getCode());
    }
  }

  @Override
  public synchronized void onExchangeComplete(HttpConnection connection, boolean keepAlive) {
    // HttpCore also completes exchanges whose request head was malformed and not counted.
    openRequests = Math.max(0, openRequests - 1);
    session.openRequests(openRequests);
    if (openRequests > 0) {
      return;
    }
    connection.setSocketTimeout(
        keepAlive ? Timeout.ofMilliseconds(limits.get().idleTimeoutMs()) : CLOSING_TIMEOUT);
  }
}
