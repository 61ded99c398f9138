package dev.caroblb.standins.process;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.caroblb.core.MillisClock;
import dev.caroblb.core.Payload;
import dev.caroblb.http.IncomingRequest;
import dev.caroblb.http.Reply;
import dev.caroblb.http.RequestHandler;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A model engine with scripted answers. It can resume and cancel generations, accepts orders to
 * load and unload models, and either checks or ignores their fencing tokens.
 */
final class StandinEngine implements RequestHandler, Standin {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String JSON = "application/json";
  private static final long ABANDON_TIMEOUT_MS = 10_000;

  /** Scripted answers take no memory; a small total would make placement queue calls. */
  private static final int TOTAL_BLOCKS = 1 << 20;

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  private final MillisClock clock;
  private final boolean checksFencing;
  private final Set<String> models;
  private final Map<String, ScriptedGeneration> generations = new ConcurrentHashMap<>();
  private final AtomicLong started = new AtomicLong();
  private final AtomicLong cancelled = new AtomicLong();
  private volatile Runnable leaveAction = () -> {};
  private volatile long lastStartedMs;
  private long highestFencingToken;
  private long lateOrders;

  StandinEngine(MillisClock clock, boolean checksFencing, Set<String> models) {
    this.clock = clock;
    this.checksFencing = checksFencing;
    this.models = new ConcurrentSkipListSet<>(models);
  }

  @Override
  public void handle(IncomingRequest request, Reply reply) {
    String[] path = request.path().split("/", -1);
    String route = request.method() + " " + (path.length > 2 ? path[2] : "");
    try {
      switch (route) {
        case "POST generations" -> postGeneration(request, path, reply);
        case "DELETE generations" -> cancel(request, path[3], reply);
        case "POST orders" -> applyOrder(request, reply);
        case "GET state" -> sendState(reply);
        case "POST leave" -> leave(reply);
        default -> sendMessage(reply, NOT_FOUND, "no such resource");
      }
    } catch (JsonProcessingException e) {
      sendMessage(reply, BAD_REQUEST, "the body is not valid JSON");
    }
  }

  private void postGeneration(IncomingRequest request, String[] path, Reply reply)
      throws JsonProcessingException {
    String entry = request.header("Caroblb-Entry").orElse("");
    if (path.length == 3) {
      generate(MAPPER.readTree(request.body().text()), entry, reply);
      return;
    }
    ScriptedGeneration generation = generations.get(path[3]);
    String workspace = request.header("Caroblb-Workspace").orElse("");
    if (generation == null || !generation.workspace().equals(workspace)) {
      sendMessage(reply, NOT_FOUND, "the generation is unknown");
      return;
    }
    long after = Long.parseLong(request.header("Last-Event-ID").orElse("0"));
    generation.attach(reply, entry, after, clock.nowMs());
  }

  private void generate(JsonNode body, String entry, Reply reply) {
    String model = body.path("model").asText();
    if (!models.contains(model)) {
      sendMessage(reply, CONFLICT, "model " + model + " is not loaded");
      return;
    }
    String id = body.path("generation").asText();
    ScriptedGeneration generation =
        new ScriptedGeneration(
            id,
            body.path("workspace").asText(),
            ScriptedPrompt.parse(body.path("prompt").asText()),
            clock.nowMs());
    if (generations.putIfAbsent(id, generation) != null) {
      sendMessage(reply, CONFLICT, "the generation already exists");
      return;
    }
    started.incrementAndGet();
    lastStartedMs = clock.nowMs();
    generation.attach(reply, entry, 0, clock.nowMs());
  }

  private void cancel(IncomingRequest request, String id, Reply reply) {
    ScriptedGeneration generation = generations.get(id);
    if (generation == null
        || !generation.mayBeCancelledBy(request.header("Caroblb-Entry").orElse(""))) {
      sendMessage(reply, NOT_FOUND, "the generation is unknown or connected to another entry");
      return;
    }
    generation.cancel();
    generations.remove(id);
    cancelled.incrementAndGet();
    sendMessage(reply, OK, "cancelled");
  }

  private synchronized void applyOrder(IncomingRequest request, Reply reply)
      throws JsonProcessingException {
    JsonNode body = MAPPER.readTree(request.body().text());
    long fencing = body.path("fencing").asLong();
    if (fencing < highestFencingToken) {
      lateOrders++;
      if (checksFencing) {
        sendMessage(
            reply, CONFLICT, "fencing token " + fencing + " is older than " + highestFencingToken);
        return;
      }
    }
    highestFencingToken = Math.max(highestFencingToken, fencing);
    String model = body.path("model").asText();
    if (body.path("kind").asText().equals("unload")) {
      models.remove(model);
    } else {
      models.add(model);
    }
    sendMessage(reply, OK, "done");
  }

  private synchronized void sendState(Reply reply) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    ArrayNode loaded = body.putArray("models");
    models.forEach(loaded::add);
    body.put("fencing", highestFencingToken);
    body.put("late_orders", lateOrders);
    body.put("running", runningGenerations());
    body.put("started", started.get());
    body.put("last_start_age_ms", clock.nowMs() - lastStartedMs);
    body.put("cancelled", cancelled.get());
    reply.send(OK, JSON, Payload.ofText(body.toString()), Map.of());
  }

  private long runningGenerations() {
    return generations.values().stream().filter(g -> !g.finished()).count();
  }

  /** Announces from now on that the engine is leaving; running generations continue. */
  private void leave(Reply reply) {
    leaveAction.run();
    sendMessage(reply, OK, "leaving");
  }

  void setLeaveAction(Runnable action) {
    leaveAction = action;
  }

  private static void sendMessage(Reply reply, int status, String message) {
    String body = JsonNodeFactory.instance.objectNode().put("message", message).toString();
    reply.send(status, JSON, Payload.ofText(body), Map.of());
  }

  @Override
  public void addToAnnouncement(ObjectNode announcement) {
    ArrayNode serves = announcement.putArray("serves");
    models.forEach(serves::add);
    int running = (int) runningGenerations();
    ObjectNode load = announcement.putObject("load");
    load.put("running", running).put("waiting", 0);
    load.put("used_blocks", Math.min(running, TOTAL_BLOCKS)).put("total_blocks", TOTAL_BLOCKS);
    load.put("preemptions", 0).put("reported_at_ms", clock.nowMs());
  }

  @Override
  public void tick(long nowMs) {
    generations.values().forEach(generation -> generation.sendDueTokens(nowMs));
    generations.values().removeIf(generation -> endIfAbandoned(generation, nowMs));
  }

  private boolean endIfAbandoned(ScriptedGeneration generation, long nowMs) {
    if (!generation.abandoned(nowMs, ABANDON_TIMEOUT_MS)) {
      return false;
    }
    generation.cancel();
    cancelled.incrementAndGet();
    return true;
  }
}
