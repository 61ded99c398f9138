package dev.caroblb.engines;

import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.engines.EngineLinks.AnswerKind;
import dev.caroblb.http.ClientExchange;
import dev.caroblb.http.EventStreamParser;
import dev.caroblb.http.ResponseSink;
import dev.caroblb.http.ServerSentEvent;
import dev.caroblb.streams.EngineEvent;
import dev.caroblb.streams.StreamsMessage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * One request to a target on a connection of its own. Events are sent to the streams duty in
 * batches. Later events are buffered while a batch is in flight, and flow control limits what the
 * target can send meanwhile to the window of the connection.
 */
final class EngineLink implements ResponseSink {
  /** Bounds the memory of a buffered answer; a longer answer ends the call. */
  private static final int MAX_ANSWER_BYTES = 1 << 20;

  private static final int OK = 200;
  private static final int INTERNAL_ERROR = 500;
  private static final int UNAVAILABLE = 503;
  private static final String NOT_RUN_HEADER = "caroblb-not-run";

  private final long id;
  private final AnswerKind kind;
  private final Outlet<StreamsMessage> streams;
  private final EventStreamParser parser;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final List<EngineEvent> pending = new ArrayList<>();

  private ClientExchange exchange;
  private boolean batchInFlight;
  private boolean terminal;
  private boolean closed;
  private int status;
  private String contentType = "application/octet-stream";
  private boolean notRun;

  EngineLink(long id, AnswerKind kind, Outlet<StreamsMessage> streams) {
    this.id = id;
    this.kind = kind;
    this.streams = streams;
    this.parser = new EventStreamParser(this::onEvent, () -> add(new EngineEvent.KeepAlive()));
  }

  synchronized void attach(ClientExchange started) {
    exchange = started;
    if (closed) {
      started.close();
    }
  }

  @Override
  public synchronized void head(int status, Map<String, String> headers) {
    this.status = status;
    contentType = headers.getOrDefault("content-type", contentType);
    notRun = headers.containsKey(NOT_RUN_HEADER);
    if (streaming()) {
      add(new EngineEvent.Opened());
      flush();
    }
  }

  private boolean streaming() {
    return kind == AnswerKind.EVENT_STREAM && status == OK;
  }

  /** A 4xx or 503 status is sent before a generation starts; after other errors it may have run. */
  private boolean refusedBeforeStart() {
    return status < INTERNAL_ERROR || status == UNAVAILABLE;
  }

  @Override
  public synchronized void data(ByteBuffer part) {
    if (terminal) {
      part.position(part.limit());
      return;
    }
    if (!streaming()) {
      collect(part);
      return;
    }
    if (!parser.parse(part)) {
      part.position(part.limit());
      endWith(new EngineEvent.Failed(true, "the engine sent an event that exceeds the size limit"));
    }
    flush();
  }

  private void collect(ByteBuffer part) {
    if (body.size() + part.remaining() > MAX_ANSWER_BYTES) {
      part.position(part.limit());
      endWith(
          new EngineEvent.Failed(true, "the answer is longer than " + MAX_ANSWER_BYTES + " bytes"));
      flush();
      return;
    }
    byte[] bytes = new byte[part.remaining()];
    part.get(bytes);
    body.write(bytes, 0, bytes.length);
    acknowledge();
  }

  private void onEvent(ServerSentEvent event) {
    if (terminal) {
      return;
    }
    switch (event.name()) {
      case "token" -> onToken(event);
      case "done" -> endWith(new EngineEvent.Done());
      default -> {}
    }
  }

  private void onToken(ServerSentEvent event) {
    try {
      long sequence = Long.parseLong(event.id().orElse(""));
      add(new EngineEvent.Token(sequence, Payload.ofText(event.data())));
    } catch (NumberFormatException e) {
      endWith(new EngineEvent.Failed(true, "the engine sent a token without a sequence number"));
    }
  }

  @Override
  public synchronized void end() {
    if (terminal) {
      return;
    }
    Payload answer = Payload.copyOf(body.toByteArray());
    if (streaming()) {
      endWith(new EngineEvent.Failed(true, "the stream ended without a done event"));
    } else if (notRun || (kind == AnswerKind.EVENT_STREAM && refusedBeforeStart())) {
      endWith(EngineLinks.rejected(status, answer));
    } else if (kind == AnswerKind.EVENT_STREAM) {
      endWith(new EngineEvent.Failed(true, "the engine answered with status " + status));
    } else {
      endWith(new EngineEvent.Answer(status, contentType, answer));
    }
    flush();
  }

  @Override
  public synchronized void failed(boolean written, String cause) {
    if (terminal) {
      return;
    }
    endWith(new EngineEvent.Failed(written, cause));
    flush();
  }

  private void endWith(EngineEvent event) {
    terminal = true;
    pending.add(event);
  }

  private void add(EngineEvent event) {
    if (!terminal) {
      pending.add(event);
    }
  }

  /** Acknowledges that the streams duty has processed the last batch. */
  synchronized void consumed() {
    batchInFlight = false;
    acknowledge();
    flush();
  }

  private void acknowledge() {
    if (exchange == null) {
      return;
    }
    try {
      exchange.acknowledge();
    } catch (IOException e) {
      failed(true, String.valueOf(e));
    }
  }

  private void flush() {
    if (batchInFlight || pending.isEmpty() || closed) {
      return;
    }
    // A refused batch stays buffered; the streams duty resumes a silent link after its stall limit.
    batchInFlight = streams.offer(new StreamsMessage.EngineEvents(id, pending));
    if (batchInFlight) {
      pending.clear();
    }
  }

  synchronized void close() {
    closed = true;
    pending.clear();
    if (exchange != null) {
      exchange.close();
    }
  }
}
