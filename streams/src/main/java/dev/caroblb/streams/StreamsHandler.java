package dev.caroblb.streams;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.GenerationId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Runs the calls of this entry instance from dispatch to their final event. */
public final class StreamsHandler implements DutyHandler<StreamsMessage> {
  private static final long TICK_MS = 100;

  private final Map<Long, RunningCall> calls = new HashMap<>();
  private final Map<GenerationId, GenerationCall> generations = new HashMap<>();
  private final StreamScope scope;
  private final Supplier<String> generationSuffix;
  private long nextTickMs;
  private volatile int running;

  /**
   * @param generationSuffix random part of generation identities; it must be hard to guess, since a
   *     caller that knows it can resume the generation
   */
  public StreamsHandler(
      StreamOutlets outlets,
      StreamLimits limits,
      StreamObserver observer,
      Supplier<String> generationSuffix) {
    this.scope = new StreamScope(outlets, limits, observer);
    this.generationSuffix = generationSuffix;
  }

  /** Number of calls between dispatch and final event; may be read from any thread. */
  public int running() {
    return running;
  }

  @Override
  public void handle(StreamsMessage message, long nowMs) {
    if (message instanceof StreamsMessage.EngineEvents events) {
      onEngineEvents(events, nowMs);
    } else if (message instanceof StreamsMessage.Start start) {
      start(start, nowMs);
    } else if (message instanceof StreamsMessage.ResumeRequested resume) {
      resume(resume, nowMs);
    } else if (message instanceof StreamsMessage.CallerReady ready) {
      withCall(ready.call(), call -> call.onCallerReady(nowMs));
    } else if (message instanceof StreamsMessage.CallerGone gone) {
      withCall(gone.call(), call -> call.onCallerGone(nowMs));
    } else if (message instanceof StreamsMessage.StopAll) {
      stopAll(nowMs);
    } else {
      onKeyMessage(message, nowMs);
    }
    running = calls.size();
  }

  private void onKeyMessage(StreamsMessage message, long nowMs) {
    if (message instanceof StreamsMessage.KeyGranted granted) {
      withCall(granted.call(), call -> call.onKeyGranted(nowMs));
    } else if (message instanceof StreamsMessage.KeyOutcome stored) {
      withCall(
          stored.call(),
          call -> call.onKeyOutcome(stored.status(), stored.contentType(), stored.body(), nowMs));
    } else if (message instanceof StreamsMessage.KeyRefused refused) {
      withCall(refused.call(), call -> call.onKeyRefused(refused.refusal(), nowMs));
    } else if (message instanceof StreamsMessage.KeyReleased released) {
      withCall(released.call(), call -> call.onKeyReleased(released.committed(), nowMs));
    }
  }

  private void start(StreamsMessage.Start start, long nowMs) {
    if (start.call().policy().service().isPresent()) {
      add(new ServiceCall(start, scope, nowMs), nowMs);
      return;
    }
    Endpoint endpoint = start.endpoint();
    GenerationId generation =
        new GenerationId(endpoint.target(), endpoint.incarnation(), generationSuffix.get());
    addGeneration(
        new GenerationCall(GenerationOrigin.of(start, generation), start.caller(), scope, nowMs),
        nowMs);
  }

  private void resume(StreamsMessage.ResumeRequested resume, long nowMs) {
    Optional.ofNullable(generations.get(resume.generation()))
        .ifPresent(call -> supersede(call, nowMs));
    addGeneration(
        new GenerationCall(GenerationOrigin.of(resume), resume.caller(), scope, nowMs), nowMs);
  }

  /** The superseded call stays until its caller has received the final event. */
  private void supersede(GenerationCall call, long nowMs) {
    call.supersede(nowMs);
    removeIfFinished(call);
  }

  private void addGeneration(GenerationCall call, long nowMs) {
    generations.put(call.generation(), call);
    add(call, nowMs);
  }

  private void add(RunningCall call, long nowMs) {
    calls.put(call.id(), call);
    call.start(nowMs);
    removeIfFinished(call);
  }

  private void onEngineEvents(StreamsMessage.EngineEvents events, long nowMs) {
    Optional<RunningCall> owner = scope.links().owner(events.link());
    if (owner.isEmpty()) {
      return;
    }
    owner.get().onEngineEvents(events.link(), events.events(), nowMs);
    removeIfFinished(owner.get());
  }

  private void withCall(long id, Consumer<RunningCall> step) {
    RunningCall call = calls.get(id);
    if (call == null) {
      return;
    }
    step.accept(call);
    removeIfFinished(call);
  }

  private void stopAll(long nowMs) {
    for (RunningCall call : List.copyOf(calls.values())) {
      call.onStop(nowMs);
      removeIfFinished(call);
    }
  }

  private void removeIfFinished(RunningCall call) {
    if (call.finished()) {
      remove(call);
    }
  }

  private void remove(RunningCall call) {
    calls.remove(call.id(), call);
    if (call instanceof GenerationCall generation) {
      generations.remove(generation.generation(), generation);
    }
  }

  @Override
  public void tick(long nowMs) {
    nextTickMs = nowMs + TICK_MS;
    scope.retryReports();
    for (RunningCall call : new ArrayList<>(calls.values())) {
      call.onTick(nowMs);
      removeIfFinished(call);
    }
    running = calls.size();
  }

  @Override
  public long nextTickMs() {
    return nextTickMs;
  }
}
