package dev.caroblb.http;

import dev.caroblb.core.LogLine;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.function.Supplier;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.bootstrap.HttpAsyncServer;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOReactorConfig;
import org.apache.hc.core5.reactor.IOReactorStatus;
import org.apache.hc.core5.reactor.ListenerEndpoint;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/** HTTP server that passes complete requests to a {@link RequestHandler}. */
public final class HttpListener implements AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(HttpListener.class.getName());

  private final HttpAsyncServer server;
  private final InetSocketAddress address;

  private final OpenExchanges openExchanges;

  private HttpListener(
      HttpAsyncServer server, InetSocketAddress address, OpenExchanges openExchanges) {
    this.server = server;
    this.address = address;
    this.openExchanges = openExchanges;
  }

  /** Starts listening with limits that do not change; port 0 selects a free port. */
  public static HttpListener start(
      InetSocketAddress address,
      HttpLimits limits,
      RequestHandler handler,
      ListenerObserver observer)
      throws IOException {
    RequestLimits fixed = limits.requestLimits();
    return start(address, limits, () -> fixed, handler, observer);
  }

  /**
   * Starts listening; port 0 selects a free port.
   *
   * @param requestLimits the limits in force, read for each request
   */
  public static HttpListener start(
      InetSocketAddress address,
      HttpLimits limits,
      Supplier<RequestLimits> requestLimits,
      RequestHandler handler,
      ListenerObserver observer)
      throws IOException {
    return start(address, limits, requestLimits, handler, observer, ListenerMemory.unbounded());
  }

  /**
   * Starts listening; port 0 selects a free port.
   *
   * @param requestLimits the limits in force, read for each request
   * @param memory bounds what request bodies and slow callers use together
   */
  public static HttpListener start(
      InetSocketAddress address,
      HttpLimits limits,
      Supplier<RequestLimits> requestLimits,
      RequestHandler handler,
      ListenerObserver observer,
      ListenerMemory memory)
      throws IOException {
    OpenExchanges openExchanges = new OpenExchanges();
    HttpAsyncServer server =
        create(
            limits,
            requestLimits,
            observer,
            () ->
                new ServerExchange(
                    requestLimits.get().maxBodyBytes(),
                    limits.maxOutputBytes(),
                    handler,
                    observer,
                    openExchanges,
                    memory));
    server.start();
    try {
      ListenerEndpoint endpoint = server.listen(address, URIScheme.HTTP).get();
      return new HttpListener(server, (InetSocketAddress) endpoint.getAddress(), openExchanges);
    } catch (ExecutionException e) {
      server.close(CloseMode.IMMEDIATE);
      throw new IOException(
          "cannot listen on " + address + "; choose a free address of this machine", e.getCause());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted before listening on " + address, e);
    }
  }

  private static HttpAsyncServer create(
      HttpLimits limits,
      Supplier<RequestLimits> requestLimits,
      ListenerObserver observer,
      Supplier<ServerExchange> exchanges) {
    Http1Config config =
        Http1Config.custom()
            .setMaxLineLength(limits.maxLineBytes())
            .setMaxHeaderCount(limits.maxHeaders())
            .setInitialWindowSize(1)
            .build();
    CallerConnections connections =
        new CallerConnections(
            config, requestLimits, observer, exchanges, HttpListener::onException);
    IOReactorConfig reactor =
        IOReactorConfig.custom()
            .setIoThreadCount(limits.ioThreads())
            .setSoTimeout(Timeout.ofMilliseconds(limits.idleTimeoutMs()))
            .setSoReuseAddress(true)
            .setTcpNoDelay(true)
            .setBacklogSize(limits.backlog())
            .build();
    return new HttpAsyncServer(
        connections,
        reactor,
        session -> new CallerSession(session, requestLimits),
        HttpListener::onException,
        null);
  }

  private static void onException(Exception cause) {
    LOGGER.log(
        System.Logger.Level.DEBUG, LogLine.of("http.exception").with("cause", cause).toString());
  }

  /** Whether all threads run; false after a close, or if a thread ended by an error. */
  public boolean running() {
    return server.getStatus() == IOReactorStatus.ACTIVE;
  }

  /** The bound address, with the actual port. */
  public InetSocketAddress address() {
    return address;
  }

  /**
   * Closes idle connections immediately and all others within the given time, so that responses
   * that are already queued are written first.
   */
  public void closeGracefully(long graceMs) {
    server.initiateShutdown();
    try {
      server.awaitShutdown(TimeValue.ofMilliseconds(graceMs));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    // HttpCore's graceful close would wait for another five seconds.
    close();
  }

  @Override
  public void close() {
    server.close(CloseMode.IMMEDIATE);
    openExchanges.close();
  }
}
