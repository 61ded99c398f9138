package dev.caroblb.placement;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;

/** The placement duty: updates the fleet and answers each {@code PlaceCall} exactly once. */
public final class PlacementHandler implements DutyHandler<PlacementMessage> {
  /** Interval between periodic reviews of the targets. */
  public static final long TICK_MS = 250;

  // Targets report their load every second, so freed capacity is known within this time.
  private static final long RETRY_AFTER_MS = 1_000;

  private final Fleet fleet;
  private final PlacementPolicy policy;
  private final Outlet<PlacementOutcome> outlet;
  private final EjectionRule ejection = new EjectionRule();
  private final ArrayDeque<PlacementOutcome> pendingOutcomes = new ArrayDeque<>();
  private long nextTickMs;

  public PlacementHandler(Fleet fleet, PlacementPolicy policy, Outlet<PlacementOutcome> outlet) {
    this.fleet = fleet;
    this.policy = policy;
    this.outlet = outlet;
  }

  @Override
  public void handle(PlacementMessage message, long nowMs) {
    if (message instanceof PlacementMessage.Progressed progressed) {
      recordProgress(progressed.call(), progressed.tokens(), nowMs);
    } else if (message instanceof PlacementMessage.PlaceCall place) {
      place(place.request(), nowMs);
    } else if (message instanceof PlacementMessage.TargetSeen seen) {
      updateTarget(seen.view(), nowMs);
    } else if (message instanceof PlacementMessage.Finished finished) {
      finish(finished.call(), finished.tokens(), nowMs);
    } else if (message instanceof PlacementMessage.CacheSeen cache) {
      fleet
          .target(cache.event().target())
          .filter(target -> target.view().incarnation() == cache.event().incarnation())
          .ifPresent(target -> target.prefixes.apply(cache.event()));
    } else if (message instanceof PlacementMessage.Preempted preempted) {
      fleet.generation(preempted.call()).ifPresent(generation -> preempt(generation, nowMs));
    } else if (message instanceof PlacementMessage.Failed failed) {
      recordFailure(failed.call(), failed.failure(), nowMs);
    }
  }

  private void place(PlacementRequest request, long nowMs) {
    Optional<Generation> generation =
        policy.place(request, nowMs).flatMap(placement -> start(request, placement, nowMs));
    if (generation.isEmpty()) {
      policy.declined(request, nowMs);
      boolean targetsKnown = fleet.anyNotEvacuated(request.modelOrService());
      emit(new PlacementOutcome.NoCapacity(request.call(), targetsKnown, RETRY_AFTER_MS));
      return;
    }
    generation.get().target().health.probeSent();
    policy.placed(generation.get(), nowMs);
  }

  private Optional<Generation> start(PlacementRequest request, Placement placement, long nowMs) {
    Optional<Generation> generation = fleet.start(request, placement, nowMs);
    if (generation.isPresent()) {
      emit(new PlacementOutcome.Placed(request.call(), placement));
    }
    return generation;
  }

  private void updateTarget(TargetView view, long nowMs) {
    Optional<Target> target = fleet.update(view, nowMs);
    if (target.isEmpty()) {
      return;
    }
    if (view.state() == TargetState.EVACUATED) {
      // Waiting calls are offered again, and refused if no other target is known.
      reportCapacity(target.get());
    }
    if (view.load().filter(LoadReport::inconsistent).isPresent()) {
      ejection.inconsistentReport(target.get(), nowMs);
      return;
    }
    if (view.load().isPresent()) {
      policy.reported(target.get(), nowMs);
      reportCapacity(target.get());
    }
  }

  private void recordProgress(long call, int tokens, long nowMs) {
    Optional<Generation> found = fleet.generation(call);
    if (found.isEmpty() || tokens <= found.get().tokens()) {
      return;
    }
    Generation generation = found.get();
    Target target = generation.target();
    int previous = generation.tokens();
    if (previous > 0 && !generation.suspended()) {
      target.health.recordTokenInterval(
          (nowMs - generation.progressAtMs()) / (double) (tokens - previous));
    }
    generation.progress(tokens, nowMs);
    ejection.succeeded(target, nowMs);
    policy.progressed(generation, previous, nowMs);
  }

  private void finish(long call, int tokens, long nowMs) {
    Optional<Generation> ended = fleet.end(call, nowMs);
    if (ended.isEmpty()) {
      return;
    }
    Generation generation = ended.get();
    int previous = generation.tokens();
    generation.progress(Math.max(tokens, previous), nowMs);
    ejection.succeeded(generation.target(), nowMs);
    policy.finished(generation, previous, nowMs);
    reportCapacity(generation.target());
  }

  private void preempt(Generation generation, long nowMs) {
    generation.markPreempted();
    policy.preempted(generation, nowMs);
  }

  private void recordFailure(long call, CallFailure failure, long nowMs) {
    Optional<Generation> found = fleet.end(call, nowMs);
    if (found.isEmpty()) {
      return;
    }
    ejection.failed(found.get().target(), failure, nowMs);
    policy.failed(found.get(), failure, nowMs);
    reportCapacity(found.get().target());
  }

  private void reportCapacity(Target target) {
    for (String modelOrService : target.view().serves()) {
      // Best effort: if the outlet is full, the next load report sends the same outcome again.
      outlet.offer(new PlacementOutcome.CapacityReported(modelOrService));
    }
  }

  private void emit(PlacementOutcome outcome) {
    if (!pendingOutcomes.isEmpty() || !outlet.offer(outcome)) {
      pendingOutcomes.addLast(outcome);
    }
  }

  @Override
  public void tick(long nowMs) {
    nextTickMs = nowMs + TICK_MS;
    while (!pendingOutcomes.isEmpty() && outlet.offer(pendingOutcomes.peekFirst())) {
      pendingOutcomes.removeFirst();
    }
    for (List<Target> targets : fleet.targetsByModelOrService()) {
      ejection.review(targets, nowMs);
    }
    policy.tick(nowMs);
  }

  @Override
  public long nextTickMs() {
    return nextTickMs;
  }
}
