package dev.caroblb.http;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.Http1StreamListener;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;

/** Creates the handler of each connection to a target, which reads responses strictly. */
final class TargetConnections implements IOEventHandlerFactory {
  private final HttpProcessor processor = HttpProcessors.client();
  private final Http1Config config;
  private final Http1StreamListener monitor;

  TargetConnections(Http1Config config, Http1StreamListener monitor) {
    this.config = config;
    this.monitor = monitor;
  }

  @Override
  public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
    return new ClientHttp1IOEventHandler(new StrictDuplexer(session));
  }

  /** Checks the lines of chunked bodies; HttpCore has no option for the reader of a body. */
  private final class StrictDuplexer extends ClientHttp1StreamDuplexer {
    StrictDuplexer(ProtocolIOSession session) {
      super(
          session,
          processor,
          config,
          CharCodingConfig.DEFAULT,
          DefaultConnectionReuseStrategy.INSTANCE,
          new StrictResponseParser(config),
          DefaultHttpRequestWriterFactory.INSTANCE.create(),
          DefaultContentLengthStrategy.INSTANCE,
          DefaultContentLengthStrategy.INSTANCE,
          monitor);
    }

    @Override
    protected ContentDecoder createContentDecoder(
        long length,
        ReadableByteChannel channel,
        SessionInputBuffer input,
        BasicHttpTransportMetrics metrics)
        throws HttpException {
      boolean chunked = length == ContentLengthStrategy.CHUNKED;
      SessionInputBuffer lines = chunked ? new CheckedLines(input, new ChunkLines()) : input;
      return super.createContentDecoder(length, channel, lines, metrics);
    }
  }
}
