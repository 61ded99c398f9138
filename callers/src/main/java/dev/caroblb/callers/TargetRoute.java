package dev.caroblb.callers;

import com.fasterxml.jackson.databind.JsonNode;
import dev.caroblb.core.Names;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Receives the announcements of targets: {@code POST /v1/targets}. */
final class TargetRoute implements Route {
  private static final List<String> PATH = List.of("v1", "targets");
  private static final int OK = 200;
  private static final int MAX_SERVES = 256;
  private static final int MAX_CACHE_EVENTS = 1_024;

  private final String targetTokenSha256;
  private final TargetSink sink;
  private final EntryDirectory directory;
  private final RefusalCounter refusals;

  TargetRoute(
      String targetTokenSha256,
      TargetSink sink,
      EntryDirectory directory,
      RefusalCounter refusals) {
    this.targetTokenSha256 = targetTokenSha256;
    this.sink = sink;
    this.directory = directory;
    this.refusals = refusals;
  }

  @Override
  public boolean matches(String method, List<String> path) {
    return method.equals("POST") && path.equals(PATH);
  }

  @Override
  public void handle(IncomingRequest request, List<String> path, Reply reply) {
    if (!BearerTokens.matches(request, targetTokenSha256)) {
      Responses.refuse(reply, Refusal.of(RefusalReason.UNAUTHENTICATED), refusals);
      return;
    }
    TargetSink.AnnouncedTarget announcement;
    try {
      announcement = decode(JsonBody.parse(request.body()));
    } catch (MalformedBodyException e) {
      Responses.refuse(reply, Refusal.of(RefusalReason.MALFORMED, e.getMessage()), refusals);
      return;
    }
    if (accepted(announcement, reply)) {
      Responses.json(reply, OK, EntriesRoute.encode(directory));
    }
  }

  private boolean accepted(TargetSink.AnnouncedTarget announcement, Reply reply) {
    try {
      if (sink.announce(announcement)) {
        return true;
      }
      Responses.refuse(reply, Refusal.of(RefusalReason.RING_FULL), refusals);
    } catch (IllegalArgumentException e) {
      Responses.refuse(reply, Refusal.of(RefusalReason.MALFORMED, e.getMessage()), refusals);
    }
    return false;
  }

  private static TargetSink.AnnouncedTarget decode(JsonBody body) throws MalformedBodyException {
    return new TargetSink.AnnouncedTarget(
        name(body, "target"),
        body.integer("incarnation"),
        body.integer("sequence"),
        kind(body),
        name(body, "domain"),
        body.text("address"),
        serves(body),
        body.flag("leaving"),
        load(body),
        cacheEvents(body));
  }

  private static String name(JsonBody body, String field) throws MalformedBodyException {
    String text = body.text(field);
    if (!Names.valid(text)) {
      throw new MalformedBodyException(
          "\"" + field + "\" must be 1 to 63 letters, digits, '-' or '_'");
    }
    return text;
  }

  private static String kind(JsonBody body) throws MalformedBodyException {
    String kind = body.text("kind");
    if (!kind.equals("engine") && !kind.equals("service")) {
      throw new MalformedBodyException("\"kind\" must be \"engine\" or \"service\"");
    }
    return kind;
  }

  private static List<String> serves(JsonBody body) throws MalformedBodyException {
    JsonNode array = body.array("serves");
    if (array.size() > MAX_SERVES) {
      throw new MalformedBodyException("\"serves\" may have at most " + MAX_SERVES + " names");
    }
    List<String> serves = new ArrayList<>();
    for (JsonNode node : array) {
      if (!node.isTextual()) {
        throw new MalformedBodyException("each of \"serves\" must be a string");
      }
      serves.add(node.textValue());
    }
    return serves;
  }

  private static Optional<TargetSink.Load> load(JsonBody body) throws MalformedBodyException {
    Optional<JsonBody> load = body.optionalObject("load");
    if (load.isEmpty()) {
      return Optional.empty();
    }
    JsonBody fields = load.get();
    return Optional.of(
        new TargetSink.Load(
            fields.smallInteger("running"),
            fields.smallInteger("waiting"),
            fields.integer("used_blocks"),
            fields.integer("total_blocks"),
            fields.integer("preemptions"),
            fields.integer("reported_at_ms")));
  }

  private static List<TargetSink.AnnouncedCacheEvent> cacheEvents(JsonBody body)
      throws MalformedBodyException {
    if (!body.has("cache_events")) {
      return List.of();
    }
    JsonNode array = body.array("cache_events");
    if (array.size() > MAX_CACHE_EVENTS) {
      throw new MalformedBodyException(
          "\"cache_events\" may have at most " + MAX_CACHE_EVENTS + " events");
    }
    List<TargetSink.AnnouncedCacheEvent> events = new ArrayList<>();
    for (JsonNode node : array) {
      JsonBody event = JsonBody.object(node, "each of \"cache_events\"");
      events.add(
          new TargetSink.AnnouncedCacheEvent(
              event.integer("sequence"), event.text("prefix"), event.flag("cached")));
    }
    return events;
  }
}
