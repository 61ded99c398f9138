package dev.caroblb.http;

import static java.util.concurrent.TimeUnit.MILLISECONDS;

import dev.caroblb.core.LogLine;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeoutException;
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

  /**
   * Bounds what the system keeps for callers whose bodies are not read on; it would grow to several
   * MB for each connection.
   */
  private static final int RECEIVE_BUFFER_BYTES = 32_768;

  private static final long LISTEN_TIMEOUT_MS = 500;

  private final HttpAsyncServer server;
  private final InetSocketAddress address;

  private final OpenExchanges openExchanges;
  private final ReactorFaults faults;

  private HttpListener(
      HttpAsyncServer server,
      InetSocketAddress address,
      OpenExchanges openExchanges,
      ReactorFaults faults) {
    this.server = server;
    this.address = address;
    this.openExchanges = openExchanges;
    this.faults = faults;
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
    ReactorFaults faults = new ReactorFaults();
    HttpAsyncServer server =
        create(
            faults,
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
      return new HttpListener(
          server, (InetSocketAddress) endpoint.getAddress(), openExchanges, faults);
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
      ReactorFaults faults,
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
    CallerSessions sessions = new CallerSessions(limits.maxWaiting());
    CallerConnections connections =
        new CallerConnections(
            config, requestLimits, observer, sessions, exchanges, HttpListener::onException);
    IOReactorConfig reactor =
        IOReactorConfig.custom()
            .setIoThreadCount(limits.ioThreads())
            .setSoTimeout(Timeout.ofMilliseconds(limits.idleTimeoutMs()))
            .setSoReuseAddress(true)
            .setTcpNoDelay(true)
            .setBacklogSize(limits.backlog())
            .setRcvBufSize(RECEIVE_BUFFER_BYTES)
            .build();
    return new HttpAsyncServer(
        connections,
        reactor,
        session -> {
          CallerSession caller = new CallerSession(session, requestLimits, sessions);
          sessions.add(caller);
          sessions.waits(caller);
          return caller;
        },
        faults,
        null);
  }

  private static void onException(Exception cause) {
    LOGGER.log(
        System.Logger.Level.DEBUG, LogLine.of("http.exception").with("cause", cause).toString());
  }

  /** Whether all threads run; false after a close, or if a thread ended by an error. */
  public boolean running() {
    return server.getStatus() == IOReactorStatus.ACTIVE && accepting();
  }

  /**
   * Whether connections are accepted. HttpCore ends its listening thread, but not the server, when
   * it cannot accept a connection, for example while the process has no free descriptor. It says so
   * only to the exception callback; whether the address is free again tells this from other faults.
   */
  private boolean accepting() {
    if (!faults.reported()) {
      return true;
    }
    try {
      ListenerEndpoint unused =
          server.listen(address, URIScheme.HTTP).get(LISTEN_TIMEOUT_MS, MILLISECONDS);
      return true;
    } catch (IllegalStateException | TimeoutException e) {
      return false;
    } catch (ExecutionException e) {
      return e.getCause() instanceof BindException;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
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
