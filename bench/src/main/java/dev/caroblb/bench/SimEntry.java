package dev.caroblb.bench;

import dev.caroblb.admission.AdmissionCounts;
import dev.caroblb.admission.AdmissionHandler;
import dev.caroblb.admission.AdmissionMessage;
import dev.caroblb.admission.AdmissionOutlets;
import dev.caroblb.admission.AdmissionSettings;
import dev.caroblb.admission.CallRefused;
import dev.caroblb.admission.CallTarget;
import dev.caroblb.admission.Dispatch;
import dev.caroblb.admission.PlacementCommand;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.Outlet;
import dev.caroblb.placement.CallFailure;
import dev.caroblb.placement.Fleet;
import dev.caroblb.placement.Placement;
import dev.caroblb.placement.PlacementHandler;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.PlacementOutcome;
import dev.caroblb.placement.PlacementRequest;
import dev.caroblb.placement.PolicyKind;
import dev.caroblb.placement.PredictiveSettings;
import dev.caroblb.placement.PromptShape;
import dev.caroblb.standins.engine.EngineRequest;
import java.util.ArrayDeque;
import java.util.function.LongFunction;

/** An entry instance: admission and placement, connected by queues as in the daemon. */
final class SimEntry {
  private final AdmissionHandler admission;
  private final PlacementHandler placement;
  private final LongFunction<EngineRequest> requests;
  private final ArrayDeque<AdmissionMessage> toAdmission = new ArrayDeque<>();
  private final ArrayDeque<PlacementMessage> toPlacement = new ArrayDeque<>();
  private boolean processing;

  SimEntry(
      PolicyKind policy,
      PredictiveSettings predictiveSettings,
      long seed,
      LongFunction<EngineRequest> requests,
      Outlet<Dispatch> dispatches,
      Outlet<CallRefused> refusals) {
    Fleet fleet = new Fleet();
    this.requests = requests;
    this.placement =
        new PlacementHandler(
            fleet, policy.create(fleet, predictiveSettings, seed), this::onPlacementOutcome);
    AdmissionOutlets outlets = new AdmissionOutlets(this::onPlacementCommand, dispatches, refusals);
    this.admission =
        new AdmissionHandler(AdmissionSettings.defaults(), outlets, new AdmissionCounts(), seed);
  }

  void sendToAdmission(AdmissionMessage message, long nowMs) {
    toAdmission.addLast(message);
    processMessages(nowMs);
  }

  void sendToPlacement(PlacementMessage message, long nowMs) {
    toPlacement.addLast(message);
    processMessages(nowMs);
  }

  void tick(long nowMs) {
    if (admission.nextTickMs() <= nowMs) {
      admission.tick(nowMs);
    }
    if (placement.nextTickMs() <= nowMs) {
      placement.tick(nowMs);
    }
    processMessages(nowMs);
  }

  private void processMessages(long nowMs) {
    if (processing) {
      return;
    }
    processing = true;
    while (!toAdmission.isEmpty() || !toPlacement.isEmpty()) {
      if (!toPlacement.isEmpty()) {
        placement.handle(toPlacement.removeFirst(), nowMs);
      } else {
        admission.handle(toAdmission.removeFirst(), nowMs);
      }
    }
    processing = false;
  }

  private boolean onPlacementCommand(PlacementCommand command) {
    if (command instanceof PlacementCommand.PlaceCall place) {
      toPlacement.addLast(new PlacementMessage.PlaceCall(placementRequest(place)));
    } else if (command instanceof PlacementCommand.ReleaseTarget release) {
      toPlacement.addLast(new PlacementMessage.Failed(release.call(), CallFailure.CANCELLED));
    }
    return true;
  }

  private PlacementRequest placementRequest(PlacementCommand.PlaceCall place) {
    CallRequest call = place.request();
    EngineRequest engineRequest = requests.apply(call.id());
    return new PlacementRequest(
        call.id(),
        call.policy().modelOrService(),
        call.policy().call(),
        call.workspace(),
        call.policy().priority(),
        new PromptShape(
            engineRequest.promptTokens(), engineRequest.prefix(), engineRequest.prefixTokens()),
        call.deadlineMs(),
        call.policy().defaultTimeoutMs(),
        place.attempt(),
        place.avoid());
  }

  private boolean onPlacementOutcome(PlacementOutcome outcome) {
    if (outcome instanceof PlacementOutcome.Placed placed) {
      Placement chosen = placed.placement();
      CallTarget target =
          new CallTarget(
              chosen.target(),
              chosen.incarnation(),
              chosen.domain(),
              chosen.address(),
              chosen.enginePriority());
      toAdmission.addLast(new AdmissionMessage.TargetFound(placed.call(), target));
    } else if (outcome instanceof PlacementOutcome.NoCapacity noCapacity) {
      toAdmission.addLast(
          new AdmissionMessage.NoCapacity(
              noCapacity.call(), noCapacity.targetsKnown(), noCapacity.retryAfterMs()));
    } else if (outcome instanceof PlacementOutcome.CapacityReported reported) {
      toAdmission.addLast(new AdmissionMessage.CapacityReported(reported.modelOrService()));
    }
    return true;
  }
}
