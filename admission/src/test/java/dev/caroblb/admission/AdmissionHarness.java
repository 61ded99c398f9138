package dev.caroblb.admission;

import dev.caroblb.core.CallClass;
import dev.caroblb.core.CallPolicy;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.ModelId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.WorkspaceId;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Runs admission against a placement with a fixed number of slots. */
final class AdmissionHarness {
  static final CallTarget TARGET =
      new CallTarget(new TargetId("engine"), 1, new FailureDomain("a"), "127.0.0.1:1", 0);

  final List<Dispatch> dispatched = new ArrayList<>();
  final List<CallRefused> refused = new ArrayList<>();
  final List<PlacementCommand.PlaceCall> placeCalls = new ArrayList<>();
  final Set<Long> running = new HashSet<>();
  final AdmissionCounts counts = new AdmissionCounts();
  final AdmissionHandler handler;
  private final ArrayDeque<PlacementCommand.PlaceCall> unanswered = new ArrayDeque<>();
  int slots;
  long nowMs;
  private long nextId;

  AdmissionHarness(int slots, AdmissionSettings settings) {
    this.slots = slots;
    this.handler =
        new AdmissionHandler(
            settings, new AdmissionOutlets(this::offer, dispatched::add, refused::add), counts, 1);
  }

  private boolean offer(PlacementCommand command) {
    if (command instanceof PlacementCommand.PlaceCall place) {
      unanswered.add(place);
      placeCalls.add(place);
    } else if (command instanceof PlacementCommand.ReleaseTarget release) {
      running.remove(release.call());
    }
    return true;
  }

  private void answerPlacement() {
    while (!unanswered.isEmpty()) {
      long call = unanswered.removeFirst().request().id();
      if (running.size() < slots) {
        running.add(call);
        handler.handle(new AdmissionMessage.TargetFound(call, TARGET), nowMs);
      } else {
        handler.handle(new AdmissionMessage.NoCapacity(call, true, 100), nowMs);
      }
    }
  }

  long submit(String workspace, CallClass callClass, long deadlineMs) {
    return submit(workspace, callClass, deadlineMs, new WorkspaceShare(1, 1_000), true);
  }

  long submit(
      String workspace,
      CallClass callClass,
      long deadlineMs,
      WorkspaceShare share,
      boolean repeatable) {
    CallPolicy policy =
        new CallPolicy(
            callClass == CallClass.SHORT ? "check" : "reading",
            Optional.of(ModelId.of("reader")),
            Optional.empty(),
            true,
            5,
            60_000,
            repeatable,
            false,
            callClass);
    long id = nextId++;
    CallRequest request =
        new CallRequest(
            id, new WorkspaceId(workspace), policy, deadlineMs, Optional.empty(), Payload.empty());
    handler.handle(new AdmissionMessage.Submitted(request, share), nowMs);
    answerPlacement();
    return id;
  }

  void end(long call) {
    running.remove(call);
    handler.handle(new AdmissionMessage.Ended(call, 100), nowMs);
    handler.handle(new AdmissionMessage.CapacityReported("reader"), nowMs);
    answerPlacement();
  }

  void send(AdmissionMessage message) {
    handler.handle(message, nowMs);
    answerPlacement();
  }

  void advance(long deltaMs) {
    long untilMs = nowMs + deltaMs;
    while (nowMs < untilMs) {
      nowMs = Math.min(untilMs, nowMs + AdmissionHandler.TICK_MS);
      handler.tick(nowMs);
      answerPlacement();
    }
  }
}
