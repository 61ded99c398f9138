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

/** One run: a policy on given arrivals. */
final class Simulation {
  static final int ENGINES = 12;
  static final int ENTRIES = 9;

  private static final long ONE_WAY_US = 1_000;
  private static final long TICK_US = 50_000;
  // Streams report progress to placement once for each block of tokens.
  private static final int PROGRESS_TOKENS = 16;
  private static final WorkspaceShare SHARE = new WorkspaceShare(1, 100_000);

  private final Workload workload;
  private final List<Arrival> arrivals;
  private final List<SimCall> calls = new ArrayList<>();
  private final List<SimEngine> engines = new ArrayList<>();
  private final List<Entry> entries = new ArrayList<>();
  private final EventQueue queue = new EventQueue();
  private final Meter meter = new Meter();
  private final Announcements announcements;
  private int open;
  private int arrived;

  Simulation(
      Workload workload,
      List<Arrival> arrivals,
      PolicyKind policy,
      PredictiveSettings knobs,
      long seed) {
    this.workload = workload;
    this.arrivals = arrivals;
    for (int i = 0; i < ENGINES; i++) {
      engines.add(new SimEngine(i, workload.loadLagUs(), seed * 100 + i));
    }
    for (int i = 0; i < ENTRIES; i++) {
      entries.add(
          new Entry(policy, knobs, seed * 1_000 + i, this::request, this::dispatch, this::refused));
    }
    this.announcements = new Announcements(queue, entries, seed);
  }

  private EngineRequest request(long call) {
    return calls.get((int) call).arrival.request();
  }

  Map<Metric, Double> run() {
    engines.forEach(engine -> announcements.start(engine));
    for (int i = 0; i < ENTRIES; i++) {
      Entry entry = entries.get(i);
      queue.at(i * TICK_US / ENTRIES, () -> tick(entry));
    }
    if (workload.losesEngines()) {
      queue.at(workload.warmupUs() + 20_000_000, () -> lose(engines.get(0)));
      queue.at(workload.warmupUs() + 20_000_000, () -> lose(engines.get(1)));
    }
    queue.at(arrivals.get(0).atUs(), this::arrive);
    while ((open > 0 || arrived < arrivals.size()) && queue.runNext()) {
      // Each event schedules what follows from it.
    }
    long preemptions = engines.stream().mapToLong(SimEngine::preemptions).sum();
    return meter.figures(preemptions);
  }

  private void tick(Entry entry) {
    entry.tick(queue.nowMs());
    queue.at(queue.nowUs() + TICK_US, () -> tick(entry));
  }

  private void arrive() {
    Arrival arrival = arrivals.get(arrived);
    SimCall call = new SimCall(arrived++, arrival, arrival.atUs() >= workload.warmupUs());
    calls.add(call);
    open++;
    if (call.measured) {
      meter.offered(call);
    }
    if (arrived < arrivals.size()) {
      queue.at(arrivals.get(arrived).atUs(), this::arrive);
    }
    queue.at(call.deadlineUs(), () -> deadline(call));
    CallRequest request =
        new CallRequest(
            call.id,
            new WorkspaceId("ws-" + arrival.workspace()),
            arrival.type().policy(),
            call.deadlineUs() / 1_000,
            Optional.empty(),
            Payload.empty());
    entry(call).admit(new AdmissionMessage.Submitted(request, SHARE), queue.nowMs());
  }

  private Entry entry(SimCall call) {
    return entries.get(call.arrival.entry());
  }

  private boolean dispatch(Dispatch dispatch) {
    queue.at(queue.nowUs() + ONE_WAY_US, () -> submit(dispatch));
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
    EngineRequest shape = call.arrival.request();
    call.engine = engine.number;
    engine.model.submit(
        call.id,
        new EngineRequest(
            shape.promptTokens(),
            shape.prefix(),
            shape.prefixTokens(),
            dispatch.target().enginePriority(),
            shape.outputTokens()),
        queue.nowUs());
    scheduleStep(engine);
  }

  private void attemptFailed(
      SimCall call, RetryReason reason, CallFailure failure, SimEngine engine) {
    call.engine = -1;
    Entry entry = entry(call);
    entry.tell(new PlacementMessage.Failed(call.id, failure), queue.nowMs());
    FailureDomain domain = engine.domain();
    entry.admit(new AdmissionMessage.DispatchFailed(call.id, reason, domain), queue.nowMs());
  }

  private void scheduleStep(SimEngine engine) {
    if (engine.scheduledStepUs >= 0 || engine.model.stepEndsAtUs().isEmpty()) {
      return;
    }
    long incarnation = engine.incarnation();
    engine.scheduledStepUs = engine.model.stepEndsAtUs().getAsLong();
    queue.at(engine.scheduledStepUs, () -> step(engine, incarnation));
  }

  private void step(SimEngine engine, long incarnation) {
    if (!engine.alive || engine.incarnation() != incarnation) {
      return;
    }
    engine.scheduledStepUs = -1;
    engine.model.step(queue.nowUs());
    engine.model.drainEvents(event -> take(engine, event));
    scheduleStep(engine);
  }

  private void take(SimEngine engine, EngineEvent event) {
    if (event instanceof EngineEvent.Token token) {
      token(calls.get((int) token.generation()), token.sequence());
    } else if (event instanceof EngineEvent.Done done) {
      done(calls.get((int) done.generation()));
    } else if (event instanceof EngineEvent.Cache cache) {
      engine.feed.cacheEvent(cache, queue.nowUs());
    }
  }

  private void token(SimCall call, int sequence) {
    if (call.measured) {
      meter.token(call, queue.nowUs());
    }
    call.tokens = sequence;
    call.lastTokenUs = queue.nowUs();
    if (sequence == 1 || sequence % PROGRESS_TOKENS == 0) {
      entry(call).tell(new PlacementMessage.Progressed(call.id, sequence), queue.nowMs());
    }
  }

  private void done(SimCall call) {
    if (call.measured) {
      meter.done(call);
    }
    end(call);
    entry(call).tell(new PlacementMessage.Finished(call.id, call.tokens), queue.nowMs());
    entry(call).admit(new AdmissionMessage.Ended(call.id, call.tokens), queue.nowMs());
  }

  private void end(SimCall call) {
    call.ended = true;
    open--;
  }

  private boolean refused(CallRefused refusal) {
    SimCall call = calls.get((int) refusal.request().id());
    end(call);
    if (call.measured) {
      meter.refused(call, queue.nowUs());
    }
    return true;
  }

  private void deadline(SimCall call) {
    if (call.ended || call.engine < 0) {
      // Admission refuses a call that is not dispatched by then.
      return;
    }
    engines.get(call.engine).model.cancel(call.id);
    if (call.measured) {
      meter.late(call, queue.nowUs());
    }
    endFailed(call, CallFailure.CANCELLED);
  }

  private void endFailed(SimCall call, CallFailure failure) {
    end(call);
    entry(call).tell(new PlacementMessage.Failed(call.id, failure), queue.nowMs());
    entry(call).admit(new AdmissionMessage.Ended(call.id, call.tokens), queue.nowMs());
  }

  private void lose(SimEngine engine) {
    engine.alive = false;
    announcements.lost(engine);
    for (SimCall call : new ArrayList<>(calls)) {
      if (call.ended || call.engine != engine.number) {
        continue;
      }
      if (call.tokens == 0) {
        attemptFailed(
            call, RetryReason.LOST_BEFORE_FIRST_TOKEN, CallFailure.CONNECTION_LOST, engine);
        continue;
      }
      if (call.measured) {
        meter.interrupted(call, queue.nowUs());
      }
      endFailed(call, CallFailure.CONNECTION_LOST);
    }
    queue.at(queue.nowUs() + 30_000_000, () -> restart(engine));
  }

  private void restart(SimEngine engine) {
    engine.restart(engine.number);
    announcements.start(engine);
  }
}
