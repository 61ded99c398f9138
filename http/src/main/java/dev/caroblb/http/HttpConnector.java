package dev.caroblb.http;

import java.net.InetSocketAddress;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncRequester;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.pool.StrictConnPool;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.util.Timeout;

/** HTTP client that sends each request on a connection of its own, without automatic retries. */
public final class HttpConnector implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 1 << 20;

  /** Limit of a status, header, chunk or trailer line. HttpCore has no limit by default. */
  private static final int MAX_LINE_BYTES = 16_384;

  /** Limit of the header fields and of the trailers of a response. */
  private static final int MAX_HEADERS = 100;

  private final HttpAsyncRequester requester;
  private final OpenConnections connections = new OpenConnections();
  private final Timeout connectTimeout;

  /**
   * @param connectTimeoutMs connect timeout in milliseconds
   * @param idleTimeoutMs idle timeout of a connection in milliseconds
   */
  public HttpConnector(int ioThreads, long connectTimeoutMs, long idleTimeoutMs) {
    connectTimeout = Timeout.ofMilliseconds(connectTimeoutMs);
    Timeout idleTimeout = Timeout.ofMilliseconds(idleTimeoutMs);
    requester = create(ioThreads, idleTimeout);
    requester.start();
  }

  /**
   * Creates the client without TLS. HttpCore's bootstrap class would read the certificates of the
   * system, which took half of the start of a process, and has no option for the response parser.
   */
  private HttpAsyncRequester create(int ioThreads, Timeout idleTimeout) {
    Http1Config config =
        Http1Config.custom()
            .setInitialWindowSize(1)
            .setMaxLineLength(MAX_LINE_BYTES)
            .setMaxHeaderCount(MAX_HEADERS)
            .build();
    IOReactorConfig reactor =
        IOReactorConfig.custom()
            .setIoThreadCount(ioThreads)
            .setSoTimeout(idleTimeout)
            .setTcpNoDelay(true)
            .build();
    return new HttpAsyncRequester(
        reactor,
        new TargetConnections(config, new ConnectionMonitor(idleTimeout, connections::close)),
        null,
        null,
        connections,
        new StrictConnPool<>(MAX_CONNECTIONS, MAX_CONNECTIONS));
  }

  /** Starts a request; the sink receives the response or the failure. */
  public ClientExchange execute(
      InetSocketAddress address, OutgoingRequest request, ResponseSink sink) {
    ClientExchange exchange = new ClientExchange(address, request, sink, connections::close);
    // Without an explicit host name HttpCore does a blocking reverse lookup of the address.
    HttpHost host =
        new HttpHost(
            "http", address.getAddress(), address.getAddress().getHostAddress(), address.getPort());
    var unused =
        requester.connect(
            host,
            connectTimeout,
            null,
            new FutureCallback<AsyncClientEndpoint>() {
              @Override
              public void completed(AsyncClientEndpoint endpoint) {
                exchange.run(endpoint);
              }

              @Override
              public void failed(Exception cause) {
                exchange.connectFailed(cause);
              }

              @Override
              public void cancelled() {
                exchange.cancel();
              }
            });
    return exchange;
  }

  /** Whether all threads run; false after a close, or if a thread ended by an error. */
  public boolean running() {
    return requester.getStatus() == IOReactorStatus.ACTIVE;
  }

  @Override
  public void close() {
    requester.close(CloseMode.IMMEDIATE);
  }
}
