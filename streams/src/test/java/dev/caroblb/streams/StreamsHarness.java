package dev.caroblb.streams;

import dev.caroblb.core.CallClass;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.GenerationId;
import dev.caroblb.core.ModelId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.WorkspaceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Runs the streams handler step by step, with outlets that record its messages. */
final class StreamsHarness {
  static final Endpoint ENDPOINT =
      new Endpoint(new TargetId("engine"), 7, new FailureDomain("a"), "127.0.0.1:1");
  static final WorkspaceId WORKSPACE = new WorkspaceId("receipts");
  static final long DEADLINE_MS = 60_000;
  static final StreamLimits LIMITS = new StreamLimits(5_000, 30_000, 10_000);
  private static final long TICK_MS = 100;

  final List<EngineCommand> commands = new ArrayList<>();
  final List<KeyCommand> keys = new ArrayList<>();
  final List<CallOutcome> outcomes = new ArrayList<>();
  final StreamsHandler handler;
  boolean outcomesFull;
  long nowMs;
  private int generations;

  StreamsHarness() {
    handler =
        new StreamsHandler(
            new StreamOutlets(commands::add, keys::add, this::acceptOutcome, progress -> true),
            LIMITS,
            StreamObserver.none(),
            () -> "g" + ++generations);
  }

  private boolean acceptOutcome(CallOutcome outcome) {
    return !outcomesFull && outcomes.add(outcome);
  }

  static CallRequest modelCall(long id, boolean streams, boolean repeatable) {
    CallPolicy policy =
        new CallPolicy(
            "reading",
            Optional.of(ModelId.of("reader")),
            Optional.empty(),
            streams,
            5,
            DEADLINE_MS,
            repeatable,
            false,
            CallClass.LONG);
    return request(id, policy, Optional.empty());
  }

  static CallRequest serviceCall(long id, boolean repeatable, Optional<String> key) {
    CallPolicy policy =
        new CallPolicy(
            "posting",
            Optional.empty(),
            Optional.of("ledger"),
            false,
            5,
            DEADLINE_MS,
            repeatable,
            false,
            CallClass.SHORT);
    return request(id, policy, key);
  }

  private static CallRequest request(long id, CallPolicy policy, Optional<String> key) {
    return new CallRequest(id, WORKSPACE, policy, DEADLINE_MS, key, Payload.ofText("body"));
  }

  RecordingCaller start(CallRequest call) {
    RecordingCaller caller = new RecordingCaller();
    handle(new StreamsMessage.Start(call, ENDPOINT, 5, caller));
    return caller;
  }

  RecordingCaller resume(long id, GenerationId generation, long afterSequence) {
    RecordingCaller caller = new RecordingCaller();
    handle(
        new StreamsMessage.ResumeRequested(
            id, WORKSPACE, generation, ENDPOINT, afterSequence, DEADLINE_MS, caller));
    return caller;
  }

  void handle(StreamsMessage message) {
    handler.handle(message, nowMs);
  }

  /** Delivers events on the link that was opened last. */
  void engine(EngineEvent... events) {
    engineOn(link(), events);
  }

  void engineOn(long link, EngineEvent... events) {
    handle(new StreamsMessage.EngineEvents(link, List.of(events)));
  }

  void advance(long deltaMs) {
    long untilMs = nowMs + deltaMs;
    while (nowMs < untilMs) {
      nowMs = Math.min(untilMs, nowMs + TICK_MS);
      handler.tick(nowMs);
    }
  }

  /** The link that was opened last; 0 when none was. */
  long link() {
    long last = 0;
    for (EngineCommand command : commands) {
      last = Math.max(last, linkOpenedBy(command));
    }
    return last;
  }

  private static long linkOpenedBy(EngineCommand command) {
    if (command instanceof EngineCommand.Generate generate) {
      return generate.link();
    }
    if (command instanceof EngineCommand.Resume resume) {
      return resume.link();
    }
    return command instanceof EngineCommand.CallService call ? call.link() : 0;
  }

  <T> List<T> sent(Class<T> type) {
    return commands.stream().filter(type::isInstance).map(type::cast).toList();
  }

  <T> List<T> sentKeys(Class<T> type) {
    return keys.stream().filter(type::isInstance).map(type::cast).toList();
  }

  GenerationId generation() {
    List<EngineCommand.Generate> sent = sent(EngineCommand.Generate.class);
    return sent.get(sent.size() - 1).generation();
  }

  static EngineEvent token(long sequence) {
    return new EngineEvent.Token(sequence, Payload.ofText("t" + sequence));
  }

  static EngineEvent lost() {
    return new EngineEvent.Failed(true, "reset");
  }

  static EngineEvent unreachable() {
    return new EngineEvent.Failed(false, "refused");
  }
}
