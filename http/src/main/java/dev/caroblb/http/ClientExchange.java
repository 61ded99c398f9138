package dev.caroblb.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.net.URIAuthority;

/**
 * One request on a connection of its own. The connection is closed with the exchange, so that a
 * late response cannot be taken for the response to another request.
 */
public final class ClientExchange implements AsyncClientExchangeHandler {
  private static final int INITIAL_WINDOW_BYTES = 65_536;

  private final InetSocketAddress address;
  private final OutgoingRequest request;
  private final ResponseSink sink;
  private final ByteBuffer body;
  private final Consumer<ConnectionAddresses> connectionCloser;

  private AsyncClientEndpoint endpoint;
  private CapacityChannel capacity;
  private long unacknowledgedBytes;
  private Optional<ConnectionAddresses> connection = Optional.empty();
  private boolean written;
  private boolean finished;

  /**
   * @param connectionCloser immediately closes a connection
   */
  ClientExchange(
      InetSocketAddress address,
      OutgoingRequest request,
      ResponseSink sink,
      Consumer<ConnectionAddresses> connectionCloser) {
    this.address = address;
    this.request = request;
    this.sink = sink;
    this.body = request.body().buffer();
    this.connectionCloser = connectionCloser;
  }

  /** Runs the request on a connection. */
  void run(AsyncClientEndpoint connected) {
    synchronized (this) {
      if (finished) {
        connected.releaseAndDiscard();
        return;
      }
      endpoint = connected;
    }
    connected.execute(this, null);
  }

  @Override
  public void produceRequest(RequestChannel channel, HttpContext context)
      throws HttpException, IOException {
    synchronized (this) {
      if (finished) {
        throw new IOException("the exchange was closed");
      }
      written = true;
      connection =
          Optional.ofNullable(HttpCoreContext.cast(context).getEndpointDetails())
              .map(
                  details ->
                      new ConnectionAddresses(
                          details.getLocalAddress(), details.getRemoteAddress()));
    }
    BasicHttpRequest head =
        new BasicHttpRequest(request.method(), URIScheme.HTTP.id, authority(), request.path());
    for (HeaderField field : request.fields()) {
      head.addHeader(field.name(), field.value());
    }
    EntityDetails entity =
        body.hasRemaining()
            ? new BasicEntityDetails(
                body.remaining(), request.contentType().map(ContentType::parse).orElse(null))
            : null;
    channel.sendRequest(head, entity, context);
  }

  private URIAuthority authority() throws ProtocolException {
    if (request.host().isEmpty()) {
      return new URIAuthority(address.getHostString(), address.getPort());
    }
    try {
      return URIAuthority.create(request.host().get());
    } catch (URISyntaxException e) {
      throw new ProtocolException("Host header " + request.host().get() + " is malformed", e);
    }
  }

  @Override
  public int available() {
    return body.remaining();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    channel.write(body);
    if (!body.hasRemaining()) {
      channel.endStream(null);
    }
  }

  @Override
  public void consumeInformation(HttpResponse response, HttpContext context) {}

  @Override
  public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context) {
    List<HeaderField> fields = new ArrayList<>();
    for (Header header : response.getHeaders()) {
      fields.add(new HeaderField(header.getName(), header.getValue()));
    }
    sink.head(response.getCode(), fields);
    if (entity == null) {
      finish();
    }
  }

  @Override
  public void updateCapacity(CapacityChannel channel) throws IOException {
    synchronized (this) {
      boolean first = capacity == null;
      capacity = channel;
      if (!first) {
        return;
      }
    }
    channel.update(INITIAL_WINDOW_BYTES);
  }

  @Override
  public void consume(ByteBuffer source) {
    synchronized (this) {
      unacknowledgedBytes += source.remaining();
    }
    sink.data(source);
  }

  /** Reopens the receive window by the number of bytes received since the last call. */
  public void acknowledge() throws IOException {
    CapacityChannel channel;
    long bytes;
    synchronized (this) {
      channel = capacity;
      bytes = unacknowledgedBytes;
      unacknowledgedBytes = 0;
    }
    if (channel != null && bytes > 0) {
      channel.update((int) bytes);
    }
  }

  @Override
  public void streamEnd(List<? extends Header> trailers) {
    finish();
  }

  private void finish() {
    if (!markFinished()) {
      return;
    }
    sink.end();
    discard();
  }

  @Override
  public void failed(Exception cause) {
    boolean mayHaveRun;
    synchronized (this) {
      mayHaveRun = written;
    }
    if (!markFinished()) {
      return;
    }
    if (cause instanceof MalformedMessageException) {
      sink.malformed(cause.getMessage());
    } else {
      sink.failed(mayHaveRun, String.valueOf(cause));
    }
    closeConnection();
  }

  /** Fails the request because no connection could be established. */
  void connectFailed(Exception cause) {
    boolean refused = cause instanceof ConnectException;
    if (!refused) {
      failed(cause);
      return;
    }
    if (markFinished()) {
      sink.connectionRefused(String.valueOf(cause));
    }
  }

  @Override
  public void cancel() {
    failed(new IOException("the exchange was cancelled"));
  }

  @Override
  public void releaseResources() {
    failed(new IOException("the connection was closed"));
  }

  /** Closes the connection, even while a response is pending. The sink is not called any more. */
  public void close() {
    markFinished();
    closeConnection();
  }

  private void closeConnection() {
    Optional<ConnectionAddresses> current;
    synchronized (this) {
      current = connection;
    }
    current.ifPresent(connectionCloser);
    discard();
  }

  private synchronized boolean markFinished() {
    if (finished) {
      return false;
    }
    finished = true;
    return true;
  }

  private void discard() {
    AsyncClientEndpoint current;
    synchronized (this) {
      current = endpoint;
    }
    if (current != null) {
      current.releaseAndDiscard();
    }
  }
}
