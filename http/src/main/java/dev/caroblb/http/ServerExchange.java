package dev.caroblb.http;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.Payload;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * One request and its response. Collects the request body and buffers the output, each up to its
 * limit.
 */
final class ServerExchange implements AsyncServerExchangeHandler, Reply {
  private static final System.Logger LOGGER = System.getLogger(ServerExchange.class.getName());
  private static final int BAD_REQUEST = 400;
  private static final int BODY_TOO_LARGE = 413;
  private static final int INTERNAL_ERROR = 500;

  /**
   * Bytes of a rejected body that are read. Closing the connection earlier would reset it, and the
   * caller might not see the response.
   */
  private static final long MAX_DISCARDED_BYTES = 8 << 20;

  private static final Map<String, String> CLOSE_HEADER = Map.of(HttpHeaders.CONNECTION, "close");

  private final int maxBodyBytes;
  private final int maxOutputBytes;
  private final RequestHandler handler;
  private final ListenerObserver observer;
  private final OpenExchanges openExchanges;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final ArrayDeque<ByteBuffer> output = new ArrayDeque<>();

  private IncomingRequest head;
  private ResponseChannel responses;
  private HttpContext context;
  private DataStreamChannel channel;
  private long discardedBytes;
  private int outputBytes;
  private boolean rejected;
  private boolean aborted;
  private boolean dispatched;
  private boolean ended;
  private boolean endSent;
  private boolean disconnected;
  private boolean wasFull;
  private Optional<Runnable> onWritable = Optional.empty();
  private Optional<Runnable> onDisconnect = Optional.empty();

  /**
   * @param maxBodyBytes maximum size of the request body, in bytes
   * @param maxOutputBytes maximum number of response bytes buffered for a slow caller
   * @param openExchanges has this exchange from its request head to the end of its response
   */
  ServerExchange(
      int maxBodyBytes,
      int maxOutputBytes,
      RequestHandler handler,
      ListenerObserver observer,
      OpenExchanges openExchanges) {
    this.maxBodyBytes = maxBodyBytes;
    this.maxOutputBytes = maxOutputBytes;
    this.handler = handler;
    this.observer = observer;
    this.openExchanges = openExchanges;
  }

  @Override
  public void handleRequest(
      HttpRequest request, EntityDetails entity, ResponseChannel channel, HttpContext context) {
    this.responses = channel;
    this.context = context;
    openExchanges.add(this);
    List<HeaderField> fields = new ArrayList<>();
    for (Header header : request.getHeaders()) {
      fields.add(new HeaderField(header.getName(), header.getValue()));
    }
    String target = request.getPath() == null ? "/" : request.getPath();
    head = new IncomingRequest(request.getMethod(), target, fields, Payload.empty());
    if (entity != null && entity.getContentLength() > maxBodyBytes) {
      rejectLargeBody();
      return;
    }
    if (entity == null) {
      dispatch();
    }
  }

  private void rejectLargeBody() {
    reject(BODY_TOO_LARGE, "the body is longer than " + maxBodyBytes + " bytes");
  }

  /**
   * Rejects a request before its body is read and closes the connection, since the unread body
   * cannot be distinguished from a next request.
   */
  private void reject(int status, String message) {
    rejected = true;
    dispatched = true;
    observer.rejected(status);
    send(status, "text/plain", Payload.ofText(message), CLOSE_HEADER);
  }

  @Override
  public void updateCapacity(CapacityChannel capacity) throws IOException {
    capacity.update(Integer.MAX_VALUE);
  }

  @Override
  public void consume(ByteBuffer source) throws IOException {
    if (!rejected && body.size() + source.remaining() > maxBodyBytes) {
      rejectLargeBody();
    }
    if (rejected) {
      discard(source);
      return;
    }
    byte[] bytes = new byte[source.remaining()];
    source.get(bytes);
    body.write(bytes, 0, bytes.length);
  }

  /** Discards a part of a rejected body, so that the caller can read the response meanwhile. */
  private void discard(ByteBuffer source) throws IOException {
    discardedBytes += source.remaining();
    source.position(source.limit());
    if (discardedBytes > MAX_DISCARDED_BYTES) {
      throw new IOException("more than " + MAX_DISCARDED_BYTES + " bytes of a rejected body");
    }
  }

  @Override
  public void streamEnd(List<? extends Header> trailers) {
    if (!rejected) {
      dispatch();
    }
  }

  private void dispatch() {
    dispatched = true;
    IncomingRequest request =
        new IncomingRequest(
            head.method(), head.requestTarget(), head.fields(), Payload.copyOf(body.toByteArray()));
    try {
      handler.handle(request, this);
    } catch (RuntimeException | StackOverflowError | LinkageError e) {
      // An error that reached the reactor would end the listener for all callers.
      LOGGER.log(
          System.Logger.Level.ERROR,
          LogLine.of("http.fault").with("path", request.path()).with("error", e).toString());
      observer.rejected(INTERNAL_ERROR);
      send(INTERNAL_ERROR, "text/plain", Payload.ofText("internal error"), Map.of());
    }
  }

  @Override
  public void send(int status, List<HeaderField> fields, Payload content) {
    addOutput(content);
    respond(status, Optional.empty(), content.size(), fields);
  }

  @Override
  public void startStream(int status, List<HeaderField> fields) {
    respond(status, Optional.empty(), -1, fields);
  }

  @Override
  public void abort() {
    DataStreamChannel current;
    synchronized (this) {
      aborted = true;
      current = channel;
    }
    requestOutput(current);
  }

  @Override
  public void send(int status, String contentType, Payload content, Map<String, String> headers) {
    addOutput(content);
    respond(status, Optional.of(contentType), content.size(), HeaderField.of(headers));
  }

  private void addOutput(Payload content) {
    synchronized (this) {
      output.add(content.buffer());
      outputBytes += content.size();
      ended = true;
    }
  }

  @Override
  public void startStream(int status, String contentType, Map<String, String> headers) {
    respond(status, Optional.of(contentType), -1, HeaderField.of(headers));
  }

  private void respond(
      int status, Optional<String> contentType, long length, List<HeaderField> fields) {
    ExchangeResponse response = new ExchangeResponse(status);
    for (HeaderField field : fields) {
      response.addHeader(field.name(), field.value());
    }
    EntityDetails details =
        new BasicEntityDetails(length, contentType.map(ContentType::parse).orElse(null));
    try {
      responses.sendResponse(response, details, context);
    } catch (HttpException | IOException e) {
      failed(e);
    }
  }

  @Override
  public boolean write(Payload chunk) {
    DataStreamChannel current;
    synchronized (this) {
      if (disconnected) {
        return true;
      }
      if (outputBytes > 0 && outputBytes + chunk.size() > maxOutputBytes) {
        wasFull = true;
        return false;
      }
      output.add(chunk.buffer());
      outputBytes += chunk.size();
      current = channel;
    }
    requestOutput(current);
    return true;
  }

  @Override
  public void end(List<Payload> lastParts) {
    DataStreamChannel current;
    synchronized (this) {
      for (Payload part : disconnected ? List.<Payload>of() : lastParts) {
        output.add(part.buffer());
        outputBytes += part.size();
      }
      ended = true;
      current = channel;
    }
    requestOutput(current);
  }

  private static void requestOutput(DataStreamChannel channel) {
    if (channel != null) {
      channel.requestOutput();
    }
  }

  @Override
  public synchronized int available() {
    return aborted || (ended && outputBytes == 0) ? 1 : outputBytes;
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    Optional<Runnable> ready;
    synchronized (this) {
      this.channel = channel;
      if (aborted) {
        throw new IOException("the response was aborted");
      }
      writeOutput(channel);
      if (ended && output.isEmpty() && !endSent) {
        endSent = true;
        openExchanges.remove(this);
        channel.endStream(null);
      }
      ready = wasFull && outputBytes <= maxOutputBytes / 2 ? onWritable : Optional.empty();
      if (ready.isPresent()) {
        wasFull = false;
      }
    }
    ready.ifPresent(Runnable::run);
  }

  private void writeOutput(DataStreamChannel channel) throws IOException {
    while (!output.isEmpty()) {
      ByteBuffer next = output.peekFirst();
      outputBytes -= channel.write(next);
      if (next.hasRemaining()) {
        channel.requestOutput();
        return;
      }
      output.removeFirst();
    }
  }

  @Override
  public synchronized void onWritable(Runnable action) {
    onWritable = Optional.of(action);
  }

  @Override
  public void onDisconnect(Runnable action) {
    boolean alreadyDisconnected;
    synchronized (this) {
      onDisconnect = Optional.of(action);
      alreadyDisconnected = disconnected;
    }
    if (alreadyDisconnected) {
      action.run();
    }
  }

  @Override
  public void failed(Exception cause) {
    Optional<Runnable> action;
    synchronized (this) {
      if (disconnected || endSent) {
        return;
      }
      // HttpCore itself responds to an HttpException; ExchangeMonitor counts that response.
      if (head != null && !dispatched && !(cause instanceof HttpException)) {
        observer.rejected(BAD_REQUEST);
      }
      disconnected = true;
      output.clear();
      outputBytes = 0;
      action = onDisconnect;
      openExchanges.remove(this);
    }
    action.ifPresent(Runnable::run);
  }

  @Override
  public void releaseResources() {
    failed(new IOException("the connection was closed"));
  }
}
