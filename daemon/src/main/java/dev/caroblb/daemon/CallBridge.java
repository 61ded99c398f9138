package dev.caroblb.daemon;

import dev.caroblb.admission.AdmissionMessage;
import dev.caroblb.admission.CallRefused;
import dev.caroblb.admission.CallTarget;
import dev.caroblb.admission.Dispatch;
import dev.caroblb.admission.PlacementCommand;
import dev.caroblb.admission.WorkspaceShare;
import dev.caroblb.callers.CallSink;
import dev.caroblb.core.CallRequest;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.placement.CallFailure;
import dev.caroblb.placement.Placement;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.PlacementOutcome;
import dev.caroblb.placement.PlacementRequest;
import dev.caroblb.placement.PromptShape;
import dev.caroblb.streams.CallOutcome;
import dev.caroblb.streams.CallProgress;
import dev.caroblb.streams.CallerEvent;
import dev.caroblb.streams.Endpoint;
import dev.caroblb.streams.StreamsMessage;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;

/**
 * Translates the messages of a call between the HTTP front end and the admission, placement and
 * streams duties, and keeps the caller of each call.
 */
final class CallBridge implements CallSink {
  private final Outlet<AdmissionMessage> admission;
  private final Outlet<PlacementMessage> placement;
  private final Outlet<StreamsMessage> streams;
  private final TargetDirectory targets;
  private final Function<WorkspaceId, Optional<WorkspaceShare>> shares;
  private final Map<Long, Caller> callers = new ConcurrentHashMap<>();

  CallBridge(
      Outlet<AdmissionMessage> admission,
      Outlet<PlacementMessage> placement,
      Outlet<StreamsMessage> streams,
      TargetDirectory targets,
      Function<WorkspaceId, Optional<WorkspaceShare>> shares) {
    this.admission = admission;
    this.placement = placement;
    this.streams = streams;
    this.targets = targets;
    this.shares = shares;
  }

  private static final class Caller {
    private final Outlet<CallerEvent> outlet;
    private volatile boolean disconnected;

    Caller(Outlet<CallerEvent> outlet) {
      this.outlet = outlet;
    }
  }

  @Override
  public Optional<Refusal> submit(CallRequest call, Outlet<CallerEvent> caller) {
    Optional<WorkspaceShare> share = shares.apply(call.workspace());
    if (share.isEmpty()) {
      return Optional.of(Refusal.of(RefusalReason.UNKNOWN_WORKSPACE));
    }
    callers.put(call.id(), new Caller(caller));
    if (admission.offer(new AdmissionMessage.Submitted(call, share.get()))) {
      return Optional.empty();
    }
    callers.remove(call.id());
    return Optional.of(Refusal.of(RefusalReason.RING_FULL));
  }

  /** Passes a command of admission to placement. */
  boolean requestPlacement(PlacementCommand command) {
    if (command instanceof PlacementCommand.PlaceCall place) {
      CallRequest call = place.request();
      PlacementRequest request =
          new PlacementRequest(
              call.id(),
              call.policy().modelOrService(),
              call.policy().call(),
              call.workspace(),
              call.policy().priority(),
              PromptShape.of(call.body(), call.policy().prefixLocality()),
              call.deadlineMs(),
              call.policy().defaultTimeoutMs(),
              place.attempt(),
              place.avoid());
      return placement.offer(new PlacementMessage.PlaceCall(request));
    }
    PlacementCommand.ReleaseTarget release = (PlacementCommand.ReleaseTarget) command;
    return placement.offer(new PlacementMessage.Failed(release.call(), CallFailure.CANCELLED));
  }

  /** Passes a decision of placement to admission. */
  boolean placementDecided(PlacementOutcome outcome) {
    if (outcome instanceof PlacementOutcome.Placed placed) {
      Placement chosen = placed.placement();
      CallTarget target =
          new CallTarget(
              chosen.target(),
              chosen.incarnation(),
              chosen.domain(),
              chosen.address(),
              chosen.enginePriority());
      return admission.offer(new AdmissionMessage.TargetFound(placed.call(), target));
    }
    if (outcome instanceof PlacementOutcome.NoCapacity noCapacity) {
      return admission.offer(
          new AdmissionMessage.NoCapacity(
              noCapacity.call(), noCapacity.targetsKnown(), noCapacity.retryAfterMs()));
    }
    PlacementOutcome.CapacityReported capacity = (PlacementOutcome.CapacityReported) outcome;
    return admission.offer(new AdmissionMessage.CapacityReported(capacity.modelOrService()));
  }

  /** Starts a call that admission dispatches. */
  boolean startCall(Dispatch dispatch) {
    CallTarget target = dispatch.target();
    Endpoint endpoint =
        new Endpoint(target.target(), target.incarnation(), target.domain(), target.address());
    long id = dispatch.request().id();
    Caller caller = callers.get(id);
    boolean started =
        streams.offer(
            new StreamsMessage.Start(
                dispatch.request(), endpoint, target.enginePriority(), caller.outlet));
    // The caller may have disconnected before the streams duty knew the call.
    if (started && caller.disconnected) {
      streams.offer(new StreamsMessage.CallerGone(id));
    }
    return started;
  }

  /** Tells the caller that admission refused its call. */
  boolean callRefused(CallRefused refused) {
    Caller caller = callers.remove(refused.request().id());
    if (caller != null) {
      caller.outlet.offer(new CallerEvent.Refused(refused.refusal()));
    }
    return true;
  }

  @Override
  public Optional<Refusal> resume(ResumeRequest resume, Outlet<CallerEvent> caller) {
    Optional<Endpoint> endpoint =
        targets.endpoint(resume.generation().target(), resume.generation().targetIncarnation());
    if (endpoint.isEmpty()) {
      return Optional.of(
          Refusal.of(RefusalReason.UNKNOWN_GENERATION, "the engine that ran it is gone"));
    }
    StreamsMessage message =
        new StreamsMessage.ResumeRequested(
            resume.id(),
            resume.workspace(),
            resume.generation(),
            endpoint.get(),
            resume.afterSequence(),
            resume.deadlineMs(),
            caller);
    return streams.offer(message)
        ? Optional.empty()
        : Optional.of(Refusal.of(RefusalReason.RING_FULL));
  }

  /**
   * Reports the end of an attempt to placement, then to admission. If this returns false, the
   * streams duty offers the outcome again; therefore admission is not told before placement has
   * accepted the report.
   */
  boolean attemptEnded(CallOutcome outcome) {
    if (outcome.call().isEmpty()) {
      return true;
    }
    long id = outcome.call().get().id();
    int tokens = (int) outcome.tokens();
    PlacementMessage end =
        outcome.refusal().isEmpty()
            ? new PlacementMessage.Finished(id, tokens)
            : new PlacementMessage.Failed(id, callFailure(outcome.refusal().get()));
    if (!placement.offer(end)) {
      return false;
    }
    if (outcome.retry()) {
      RetryReason reason = retryReason(outcome.refusal().orElseThrow());
      return admission.offer(
          new AdmissionMessage.DispatchFailed(id, reason, outcome.endpoint().domain()));
    }
    callers.remove(id);
    return admission.offer(new AdmissionMessage.Ended(id, tokens));
  }

  private static RetryReason retryReason(RefusalReason reason) {
    return switch (reason) {
      case TARGET_UNREACHABLE -> RetryReason.CONNECT_FAILED;
      case TARGET_REFUSED -> RetryReason.TARGET_REFUSED;
      default -> RetryReason.LOST_BEFORE_FIRST_TOKEN;
    };
  }

  private static CallFailure callFailure(RefusalReason reason) {
    return switch (reason) {
      case TARGET_UNREACHABLE -> CallFailure.CONNECT_FAILED;
      case TARGET_REFUSED -> CallFailure.TARGET_REFUSED;
      case TARGET_STALLED -> CallFailure.STALLED;
      case CONNECTION_LOST, TARGET_LOST -> CallFailure.CONNECTION_LOST;
      default -> CallFailure.CANCELLED;
    };
  }

  /** Reports the number of tokens that a call has produced to placement. */
  boolean progressed(CallProgress progress) {
    return placement.offer(
        new PlacementMessage.Progressed(progress.call(), (int) progress.tokens()));
  }

  @Override
  public void callerWritable(long call) {
    streams.offer(new StreamsMessage.CallerReady(call));
  }

  @Override
  public void callerDisconnected(long call) {
    Caller caller = callers.get(call);
    if (caller != null) {
      caller.disconnected = true;
      admission.offer(new AdmissionMessage.Cancelled(call));
    }
    streams.offer(new StreamsMessage.CallerGone(call));
  }
}
