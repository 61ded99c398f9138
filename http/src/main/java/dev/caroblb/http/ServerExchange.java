package dev.caroblb.http;

import dev.caroblb.core.LogLine;
import dev.caroblb.core.Payload;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
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
  private static final int UNAVAILABLE = 503;

  /**
   * Bytes of a rejected body that are read. Closing the connection earlier would reset it, and the
   * caller might not see the response.
   */
  private static final long MAX_DISCARDED_BYTES = 8 << 20;

  private final int maxBodyBytes;
  private final int maxOutputBytes;
  private final RequestHandler handler;
  private final ListenerObserver observer;
  private final OpenExchanges openExchanges;
  private final ListenerMemory memory;
  private final RequestBody body;
  private final OutputQueue output;

  private IncomingRequest head;
  private ResponseChannel responses;
  private HttpContext context;
  private DataStreamChannel channel;
  private long discardedBytes;
  private volatile boolean rejected;
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
      OpenExchanges openExchanges,
      ListenerMemory memory) {
    this.maxBodyBytes = maxBodyBytes;
    this.maxOutputBytes = maxOutputBytes;
    this.handler = handler;
    this.observer = observer;
    this.openExchanges = openExchanges;
    this.memory = memory;
    this.output = new OutputQueue(memory.account());
    this.body = new RequestBody(memory, this::rejectForMemory);
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
    if (!memory.admits(entity != null, entity == null ? 0 : entity.getContentLength())) {
      rejectForMemory();
      return;
    }
    if (entity == null) {
      dispatch();
      return;
    }
    body.declare(entity.getContentLength());
  }

  /** Rejects a request that was not handled because the process has no memory for it. */
  private void rejectForMemory() {
    if (startRejection(UNAVAILABLE)) {
      guarded(() -> handler.rejectForMemory(head, this));
    }
  }

  /**
   * Rejects a request before its body is read; the connection is closed, since the unread body
   * cannot be distinguished from a next request. Returns false if the request was handled or
   * rejected already.
   */
  private boolean startRejection(int status) {
    synchronized (this) {
      if (dispatched) {
        return false;
      }
      rejected = true;
      dispatched = true;
    }
    observer.rejected(status);
    body.release();
    body.openWindow();
    return true;
  }

  private void rejectLargeBody() {
    if (startRejection(BODY_TOO_LARGE)) {
      String message = "the body is longer than " + maxBodyBytes + " bytes";
      send(BODY_TOO_LARGE, "text/plain", Payload.ofText(message), Map.of());
    }
  }

  @Override
  public void updateCapacity(CapacityChannel capacity) throws IOException {
    body.attach(capacity);
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
    body.add(source);
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
    synchronized (this) {
      if (dispatched) {
        return;
      }
      dispatched = true;
    }
    IncomingRequest request =
        new IncomingRequest(head.method(), head.requestTarget(), head.fields(), body.complete());
    guarded(() -> handler.handle(request, this));
  }

  /** An error that reached the reactor, or a timer, would end the process for all callers. */
  private void guarded(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException | StackOverflowError | LinkageError e) {
      LOGGER.log(
          System.Logger.Level.ERROR,
          LogLine.of("http.fault").with("path", head.path()).with("error", e).toString());
      observer.rejected(INTERNAL_ERROR);
      send(INTERNAL_ERROR, "text/plain", Payload.ofText("internal error"), Map.of());
    }
  }

  @Override
  public void send(int status, List<HeaderField> fields, Payload content) {
    if (addOutput(content)) {
      respond(status, Optional.empty(), content.size(), fields);
    }
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
    if (addOutput(content)) {
      respond(status, Optional.of(contentType), content.size(), HeaderField.of(headers));
    }
  }

  /** Queues a whole response; false if the caller is gone, which already released its memory. */
  private boolean addOutput(Payload content) {
    synchronized (this) {
      if (disconnected) {
        return false;
      }
      output.add(content);
      ended = true;
    }
    openExchanges.freeMemory(memory.account());
    return true;
  }

  /** Response bytes that are not written yet. */
  synchronized int outputBytes() {
    return output.bytes();
  }

  /** Gives up a response that is not written yet, to free its memory. */
  void dropOutput() {
    failed(new IOException("the responses of slow callers use too much memory"));
    abort();
  }

  @Override
  public void startStream(int status, String contentType, Map<String, String> headers) {
    respond(status, Optional.of(contentType), -1, HeaderField.of(headers));
  }

  private void respond(
      int status, Optional<String> contentType, long length, List<HeaderField> fields) {
    ExchangeResponse response = ExchangeResponse.of(status, fields, rejected);
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
      boolean full = output.bytes() + chunk.size() > maxOutputBytes || memory.account().full();
      if (output.bytes() > 0 && full) {
        wasFull = true;
        return false;
      }
      output.add(chunk);
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
        output.add(part);
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
    return aborted || (ended && output.bytes() == 0) ? 1 : output.bytes();
  }

  @Override
  public void produce(DataStreamChannel channel) throws IOException {
    Optional<Runnable> ready;
    synchronized (this) {
      this.channel = channel;
      // A response whose output was dropped must not end as if it were complete.
      if (aborted || disconnected) {
        throw new IOException("the response was aborted");
      }
      output.writeTo(channel);
      if (ended && output.isEmpty() && !endSent) {
        endSent = true;
        openExchanges.remove(this);
        body.release();
        channel.endStream(null);
      }
      ready = wasFull && output.bytes() <= maxOutputBytes / 2 ? onWritable : Optional.empty();
      if (ready.isPresent()) {
        wasFull = false;
      }
    }
    ready.ifPresent(Runnable::run);
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
      action = onDisconnect;
      openExchanges.remove(this);
      body.release();
    }
    action.ifPresent(Runnable::run);
  }

  @Override
  public void releaseResources() {
    failed(new IOException("the connection was closed"));
  }
}
