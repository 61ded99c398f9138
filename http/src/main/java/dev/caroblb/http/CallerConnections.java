package dev.caroblb.http;

import dev.caroblb.core.SystemMillisClock;
import java.util.function.Supplier;
import org.apache.hc.core5.function.Callback;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandlerFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.nio.support.BasicAsyncServerExpectationDecorator;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/**
 * Creates the handler of each connection of a caller. Each connection has a monitor of its own, so
 * that the state of a connection ends with it.
 */
final class CallerConnections implements IOEventHandlerFactory {
  private final HttpProcessor processor = HttpProcessors.server();
  private final Http1Config config;
  private final Supplier<RequestLimits> limits;
  private final ListenerObserver observer;
  private final CallerSessions sessions;
  private final Supplier<ServerExchange> exchanges;
  private final Callback<Exception> onException;

  /**
   * @param exchanges creates the exchange of each request
   */
  CallerConnections(
      Http1Config config,
      Supplier<RequestLimits> limits,
      ListenerObserver observer,
      CallerSessions sessions,
      Supplier<ServerExchange> exchanges,
      Callback<Exception> onException) {
    this.config = config;
    this.limits = limits;
    this.observer = observer;
    this.sessions = sessions;
    this.exchanges = exchanges;
    this.onException = onException;
  }

  @Override
  public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
    ServerHttp1StreamDuplexerFactory streams =
        new ServerHttp1StreamDuplexerFactory(
            processor,
            (request, context) ->
                new BasicAsyncServerExpectationDecorator(exchanges.get(), onException),
            config,
            CharCodingConfig.DEFAULT,
            DefaultConnectionReuseStrategy.INSTANCE,
            () -> new StrictRequestParser(config, limits, new SystemMillisClock()),
            DefaultHttpResponseWriterFactory.INSTANCE,
            new ExchangeMonitor(observer, limits, sessions.find(session)),
            onException);
    return new ServerHttp1IOEventHandlerFactory(streams, null, null)
        .createHandler(session, attachment);
  }
}
