package dev.caroblb.bench;

import dev.caroblb.admission.AdmissionMessage;
import dev.caroblb.admission.CallRefused;
import dev.caroblb.admission.Dispatch;
import dev.caroblb.admission.WorkspaceShare;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Payload;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.placement.CallFailure;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.PolicyKind;
import dev.caroblb.placement.PredictiveSettings;
import dev.caroblb.standins.engine.EngineEvent;
import dev.caroblb.standins.engine.EngineRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Simulates one run of a policy on the given arrivals. */
final class Simulation {
  static final int ENGINES = 12;
  static final int ENTRIES = 9;

  private static final long NETWORK_DELAY_US = 1_000;
  private static final long TICK_INTERVAL_US = 50_000;
  // A stream reports its progress to placement once per memory block.
  private static final int PROGRESS_INTERVAL_TOKENS = 16;
  private static final WorkspaceShare WORKSPACE_SHARE = new WorkspaceShare(1, 100_000);

  private final Workload workload;
  private final List<Arrival> arrivals;
  private final List<SimCall> calls = new ArrayList<>();
  private final List<SimEngine> engines = new ArrayList<>();
  private final List<SimEntry> entries = new ArrayList<>();
  private final EventQueue queue = new EventQueue();
  private final RunMetrics metrics = new RunMetrics();
  private final Announcements announcements;
  private int openCalls;
  private int arrivedCalls;

  Simulation(
      Workload workload,
      List<Arrival> arrivals,
      PolicyKind policy,
      PredictiveSettings predictiveSettings,
      long seed) {
    this.workload = workload;
    this.arrivals = arrivals;
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new SimEngine(i, workload.loadLagUs(), seed * 100 + i));
    }
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(
          new SimEntry(
              policy,
              predictiveSettings,
              seed * 1_000 + i,
              this::request,
              this::dispatch,
              this::onRefused));
    }
    this.announcements = new Announcements(queue, entries, seed);
  }

  private EngineRequest request(long call) {
    return calls.get((int) call).arrival.request();
  }

  Map<Metric, Double> run() {
    engines.forEach(engine -> announcements.start(engine));
    for (int i = 0; i < ENTRIES; i++) {
      SimEntry entry = entries.get(i);
      queue.schedule(i * TICK_INTERVAL_US / ENTRIES, () -> tick(entry));
    }
    if (workload.losesEngines()) {
      queue.schedule(workload.warmupUs() + 20_000_000, () -> failEngine(engines.get(0)));
      queue.schedule(workload.warmupUs() + 20_000_000, () -> failEngine(engines.get(1)));
    }
    queue.schedule(arrivals.get(0).atUs(), this::arrive);
    while ((openCalls > 0 || arrivedCalls < arrivals.size()) && queue.runNext()) {
      // The events do all the work and schedule the ones that follow.
    }
    long preemptions = engines.stream().mapToLong(SimEngine::preemptions).sum();
    return metrics.values(preemptions);
  }

  private void tick(SimEntry entry) {
    entry.tick(queue.nowMs());
    queue.schedule(queue.nowUs() + TICK_INTERVAL_US, () -> tick(entry));
  }

  private void arrive() {
    Arrival arrival = arrivals.get(arrivedCalls);
    SimCall call = new SimCall(arrivedCalls++, arrival, arrival.atUs() >= workload.warmupUs());
    calls.add(call);
    openCalls++;
    if (call.measured) {
      metrics.countOffered(call);
    }
    if (arrivedCalls < arrivals.size()) {
      queue.schedule(arrivals.get(arrivedCalls).atUs(), this::arrive);
    }
    queue.schedule(call.deadlineUs(), () -> onDeadline(call));
    CallRequest request =
        new CallRequest(
            call.id,
            new WorkspaceId("ws-" + arrival.workspace()),
            arrival.type().policy(),
            call.deadlineUs() / 1_000,
            Optional.empty(),
            Payload.empty());
    entry(call)
        .sendToAdmission(new AdmissionMessage.Submitted(request, WORKSPACE_SHARE), queue.nowMs());
  }

  private SimEntry entry(SimCall call) {
    return entries.get(call.arrival.entry());
  }

  private boolean dispatch(Dispatch dispatch) {
    queue.schedule(queue.nowUs() + NETWORK_DELAY_US, () -> submit(dispatch));
    return true;
  }

  private void submit(Dispatch dispatch) {
    SimCall call = calls.get((int) dispatch.request().id());
    if (call.ended) {
      return;
    }
    String name = dispatch.target().target().name();
    SimEngine engine = engines.get(Integer.parseInt(name.substring(name.indexOf('-') + 1)));
    if (!engine.alive || engine.incarnation() != dispatch.target().incarnation()) {
      attemptFailed(call, RetryReason.CONNECT_FAILED, CallFailure.CONNECT_FAILED, engine);
      return;
    }
    EngineRequest engineRequest = call.arrival.request();
    call.engine = engine.index;
    engine.model.submit(
        call.id,
        new EngineRequest(
            engineRequest.promptTokens(),
            engineRequest.prefix(),
            engineRequest.prefixTokens(),
            dispatch.target().enginePriority(),
            engineRequest.outputTokens()),
        queue.nowUs());
    scheduleStep(engine);
  }

  private void attemptFailed(
      SimCall call, RetryReason reason, CallFailure failure, SimEngine engine) {
    call.engine = -1;
    SimEntry entry = entry(call);
    entry.sendToPlacement(new PlacementMessage.Failed(call.id, failure), queue.nowMs());
    FailureDomain domain = engine.domain();
    entry.sendToAdmission(
        new AdmissionMessage.DispatchFailed(call.id, reason, domain), queue.nowMs());
  }

  private void scheduleStep(SimEngine engine) {
    if (engine.scheduledStepUs >= 0 || engine.model.nextStepEndUs().isEmpty()) {
      return;
    }
    long incarnation = engine.incarnation();
    engine.scheduledStepUs = engine.model.nextStepEndUs().getAsLong();
    queue.schedule(engine.scheduledStepUs, () -> step(engine, incarnation));
  }

  private void step(SimEngine engine, long incarnation) {
    if (!engine.alive || engine.incarnation() != incarnation) {
      return;
    }
    engine.scheduledStepUs = -1;
    engine.model.step(queue.nowUs());
    engine.model.drainEvents(event -> onEngineEvent(engine, event));
    scheduleStep(engine);
  }

  private void onEngineEvent(SimEngine engine, EngineEvent event) {
    if (event instanceof EngineEvent.Token token) {
      onToken(calls.get((int) token.generation()), token.sequence());
    } else if (event instanceof EngineEvent.Done done) {
      onDone(calls.get((int) done.generation()));
    } else if (event instanceof EngineEvent.CacheChanged cache) {
      engine.feed.recordCacheEvent(cache, queue.nowUs());
    }
  }

  private void onToken(SimCall call, int sequence) {
    if (call.measured) {
      metrics.recordToken(call, queue.nowUs());
    }
    call.tokens = sequence;
    call.lastTokenUs = queue.nowUs();
    if (sequence == 1 || sequence % PROGRESS_INTERVAL_TOKENS == 0) {
      entry(call)
          .sendToPlacement(new PlacementMessage.Progressed(call.id, sequence), queue.nowMs());
    }
  }

  private void onDone(SimCall call) {
    if (call.measured) {
      metrics.countCompleted(call);
    }
    endCall(call);
    entry(call).sendToPlacement(new PlacementMessage.Finished(call.id, call.tokens), queue.nowMs());
    entry(call).sendToAdmission(new AdmissionMessage.Ended(call.id, call.tokens), queue.nowMs());
  }

  private void endCall(SimCall call) {
    call.ended = true;
    openCalls--;
  }

  private boolean onRefused(CallRefused refusal) {
    SimCall call = calls.get((int) refusal.request().id());
    endCall(call);
    if (call.measured) {
      metrics.recordRefused(call, queue.nowUs());
    }
    return true;
  }

  private void onDeadline(SimCall call) {
    if (call.ended || call.engine < 0) {
      // Admission itself refuses a call that was not dispatched before its deadline.
      return;
    }
    engines.get(call.engine).model.cancel(call.id);
    if (call.measured) {
      metrics.recordLate(call, queue.nowUs());
    }
    failCall(call, CallFailure.CANCELLED);
  }

  private void failCall(SimCall call, CallFailure failure) {
    endCall(call);
    entry(call).sendToPlacement(new PlacementMessage.Failed(call.id, failure), queue.nowMs());
    entry(call).sendToAdmission(new AdmissionMessage.Ended(call.id, call.tokens), queue.nowMs());
  }

  private void failEngine(SimEngine engine) {
    engine.alive = false;
    announcements.expire(engine);
    for (SimCall call : new ArrayList<>(calls)) {
      if (call.ended || call.engine != engine.index) {
        continue;
      }
      if (call.tokens == 0) {
        attemptFailed(
            call, RetryReason.LOST_BEFORE_FIRST_TOKEN, CallFailure.CONNECTION_LOST, engine);
        continue;
      }
      if (call.measured) {
        metrics.recordInterrupted(call, queue.nowUs());
      }
      failCall(call, CallFailure.CONNECTION_LOST);
    }
    queue.schedule(queue.nowUs() + 30_000_000, () -> restartEngine(engine));
  }

  private void restartEngine(SimEngine engine) {
    engine.restart(engine.index);
    announcements.start(engine);
  }
}
