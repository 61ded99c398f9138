package dev.caroblb.standins.process;

import dev.caroblb.core.Payload;
import dev.caroblb.http.Reply;
import dev.caroblb.http.ServerSentEvent;
import java.util.Map;
import java.util.Optional;

/** One generation: tokens appear at a fixed interval and are sent to the attached connection. */
final class ScriptedGeneration {
  private static final long KEEP_ALIVE_INTERVAL_MS = 1_000;
  private static final int OK = 200;

  private final String id;
  private final String workspace;
  private final ScriptedPrompt prompt;
  private final long startedMs;
  private Optional<Reply> connection = Optional.empty();
  private String entry = "";
  private long sentTokens;
  private long lastSentMs;
  private long detachedMs;
  private boolean finished;

  ScriptedGeneration(String id, String workspace, ScriptedPrompt prompt, long nowMs) {
    this.id = id;
    this.workspace = workspace;
    this.prompt = prompt;
    this.startedMs = nowMs;
    this.detachedMs = nowMs;
  }

  String workspace() {
    return workspace;
  }

  /** Sends from the token after {@code afterSequence} on; an earlier connection is closed. */
  synchronized void attach(Reply reply, String newEntry, long afterSequence, long nowMs) {
    connection.ifPresent(Reply::end);
    connection = Optional.of(reply);
    entry = newEntry;
    sentTokens = afterSequence;
    lastSentMs = nowMs;
    reply.onGone(() -> detach(reply, nowMs));
    reply.startStream(OK, "text/event-stream", Map.of());
    sendDueTokens(nowMs);
  }

  private synchronized void detach(Reply reply, long nowMs) {
    if (connection.isPresent() && connection.get() == reply) {
      connection = Optional.empty();
      detachedMs = nowMs;
    }
  }

  /** Whether the entry instance may cancel: another one may have taken the generation over. */
  synchronized boolean mayBeCancelledBy(String requestingEntry) {
    return connection.isEmpty() || entry.equals(requestingEntry);
  }

  synchronized void cancel() {
    finished = true;
    connection.ifPresent(Reply::end);
    connection = Optional.empty();
  }

  /** Tokens that exist at the given time. */
  private long producedTokens(long nowMs) {
    long intervals = prompt.intervalMs() == 0 ? prompt.tokens() : elapsedIntervals(nowMs);
    return Math.min(prompt.tokens(), intervals);
  }

  private long elapsedIntervals(long nowMs) {
    return (nowMs - startedMs) / prompt.intervalMs();
  }

  /** Sends what is due. */
  synchronized void sendDueTokens(long nowMs) {
    if (connection.isEmpty() || finished) {
      return;
    }
    Reply reply = connection.get();
    long produced = producedTokens(nowMs);
    while (sentTokens < produced) {
      if (!reply.write(tokenEvent(sentTokens + 1))) {
        return;
      }
      sentTokens++;
      lastSentMs = nowMs;
    }
    if (sentTokens == prompt.tokens()) {
      reply.write(new ServerSentEvent("done", Optional.empty(), "{}").encode());
      reply.end();
      finished = true;
      return;
    }
    if (nowMs - lastSentMs >= KEEP_ALIVE_INTERVAL_MS
        && reply.write(Payload.ofText(": keep-alive\n"))) {
      lastSentMs = nowMs;
    }
  }

  /** The text names generation and sequence, so that tests recognise a spliced answer. */
  private Payload tokenEvent(long sequence) {
    String data = "{\"text\":\"" + id + "#" + sequence + "\"}";
    return new ServerSentEvent("token", Optional.of(Long.toString(sequence)), data).encode();
  }

  synchronized boolean finished() {
    return finished;
  }

  /** Whether nobody was attached for the given time. */
  synchronized boolean abandoned(long nowMs, long limitMs) {
    return !finished && connection.isEmpty() && nowMs - detachedMs >= limitMs;
  }
}
