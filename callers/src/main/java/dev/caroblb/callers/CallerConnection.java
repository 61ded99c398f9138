package dev.caroblb.callers;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.Refusal;
import dev.caroblb.http.Reply;
import dev.caroblb.http.ServerSentEvent;
import dev.caroblb.streams.CallerEvent;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** Encodes the response to a caller: an event stream or one complete response. */
final class CallerConnection implements Outlet<CallerEvent> {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int OK = 200;

  private final Reply reply;
  private final RefusalCounter refusals;
  private final Runnable onClose;
  private final AtomicBoolean closed = new AtomicBoolean();
  private boolean streaming;

  CallerConnection(Reply reply, RefusalCounter refusals, Runnable onClose) {
    this.reply = reply;
    this.refusals = refusals;
    this.onClose = onClose;
  }

  /** Releases the stream of the call; returns false if it was released before. */
  boolean close() {
    if (!closed.compareAndSet(false, true)) {
      return false;
    }
    onClose.run();
    return true;
  }

  /** Ends the call with a refusal before any event. */
  void refuse(Refusal refusal) {
    offer(new CallerEvent.Refused(refusal));
  }

  @Override
  public boolean offer(CallerEvent event) {
    if (event instanceof CallerEvent.Token token) {
      return writeToken(token);
    }
    if (event instanceof CallerEvent.Completed completed) {
      ObjectNode body = finalBody("complete", completed.generation(), completed.tokens());
      return writeFinalEvent(body);
    }
    if (event instanceof CallerEvent.Interrupted interrupted) {
      return writeInterrupted(interrupted);
    }
    if (event instanceof CallerEvent.Whole whole) {
      Responses.json(reply, OK, encodeWhole(whole));
    } else if (event instanceof CallerEvent.Answer answer) {
      reply.send(answer.status(), answer.contentType(), answer.body(), replayHeader(answer));
    } else if (event instanceof CallerEvent.Refused refused) {
      return writeRefusal(refused.refusal());
    }
    close();
    return true;
  }

  private boolean writeToken(CallerEvent.Token token) {
    startStream();
    String id = token.generation() + "/" + token.sequence();
    return reply.write(new ServerSentEvent("token", Optional.of(id), token.data().text()).encode());
  }

  private void startStream() {
    if (!streaming) {
      streaming = true;
      reply.startStream(OK, EVENT_STREAM, Map.of("Cache-Control", "no-store"));
    }
  }

  private boolean writeInterrupted(CallerEvent.Interrupted event) {
    ObjectNode body = finalBody("interrupted", event.generation(), event.tokens());
    addRefusal(body, event.refusal());
    if (!writeFinalEvent(body)) {
      return false;
    }
    refusals.refused(event.refusal().reason());
    return true;
  }

  private boolean writeRefusal(Refusal refusal) {
    if (streaming) {
      ObjectNode body = JsonNodeFactory.instance.objectNode().put("status", "interrupted");
      addRefusal(body, refusal);
      if (!writeFinalEvent(body)) {
        return false;
      }
    } else {
      Responses.refuse(reply, refusal);
      close();
    }
    refusals.refused(refusal.reason());
    return true;
  }

  private static void addRefusal(ObjectNode body, Refusal refusal) {
    body.put("kind", refusal.reason().wireName());
    body.put("ran", true);
    body.put("next", refusal.reason().remedy());
    body.put("message", refusal.message());
  }

  private static ObjectNode finalBody(String status, GenerationId generation, long tokens) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("status", status)
        .put("generation", generation.toString())
        .put("tokens", tokens);
  }

  private boolean writeFinalEvent(ObjectNode body) {
    startStream();
    Payload event = new ServerSentEvent("final", Optional.empty(), body.toString()).encode();
    if (!reply.write(event)) {
      return false;
    }
    reply.end();
    close();
    return true;
  }

  private static ObjectNode encodeWhole(CallerEvent.Whole whole) {
    ObjectNode body = finalBody("complete", whole.generation(), whole.tokens().size());
    ArrayNode output = body.putArray("output");
    for (Payload token : whole.tokens()) {
      output.add(token.text());
    }
    return body;
  }

  private static Map<String, String> replayHeader(CallerEvent.Answer answer) {
    return answer.replayed() ? Map.of("Caroblb-Replayed", "true") : Map.of();
  }
}
