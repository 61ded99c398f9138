package dev.caroblb.admission;

import dev.caroblb.core.CallRequest;
import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalKind;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.core.RetryReason;
import dev.caroblb.core.WorkspaceId;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The admission duty. A call whose lane is empty is offered to placement at once; waiting calls are
 * offered again when placement reports free capacity. Every call ends in one way: its last dispatch
 * ends, it is refused, or its caller cancels it.
 */
public final class AdmissionHandler implements DutyHandler<AdmissionMessage> {
  /** Interval between checks of deadlines, backoffs and undelivered messages. */
  public static final long TICK_MS = 50;

  private final AdmissionSettings settings;
  private final AdmissionOutlets outlets;
  private final AdmissionCounts counts;
  private final RetryPolicy retries;
  private final RetryAfter retryAfter = new RetryAfter();
  private final Map<Long, AdmittedCall> calls = new HashMap<>();
  private final Map<String, LanePair> lanes = new HashMap<>();
  private final Map<WorkspaceId, Integer> concurrent = new HashMap<>();
  private final PriorityQueue<AdmittedCall> backingOff =
      new PriorityQueue<>((a, b) -> Long.compare(a.retryAtMs, b.retryAtMs));
  private final ArrayDeque<CallRefused> pendingRefusals = new ArrayDeque<>();
  private final ArrayDeque<PlacementCommand> pendingReleases = new ArrayDeque<>();
  private long nextTickMs;

  public AdmissionHandler(
      AdmissionSettings settings, AdmissionOutlets outlets, AdmissionCounts counts, long seed) {
    this.settings = settings;
    this.outlets = outlets;
    this.counts = counts;
    this.retries = new BudgetedRetryPolicy(settings, seed);
  }

  @Override
  public void handle(AdmissionMessage message, long nowMs) {
    if (message instanceof AdmissionMessage.Submitted submitted) {
      submit(submitted.request(), submitted.share(), nowMs);
    } else if (message instanceof AdmissionMessage.TargetFound found) {
      dispatch(found.call(), found.target(), nowMs);
    } else if (message instanceof AdmissionMessage.NoCapacity noCapacity) {
      noCapacity(noCapacity, nowMs);
    } else if (message instanceof AdmissionMessage.CapacityReported reported) {
      Optional.ofNullable(lanes.get(reported.modelOrService()))
          .ifPresent(pair -> retryPlacement(pair, nowMs));
    } else if (message instanceof AdmissionMessage.DispatchFailed failed) {
      retry(failed.call(), failed.reason(), failed.domain(), nowMs);
    } else if (message instanceof AdmissionMessage.Ended ended) {
      end(ended.call(), ended.tokens());
    } else if (message instanceof AdmissionMessage.Cancelled cancelled) {
      cancel(cancelled.call());
    }
  }

  private void submit(CallRequest request, WorkspaceShare share, long nowMs) {
    AdmittedCall call = new AdmittedCall(request, share);
    if (nowMs >= request.deadlineMs()) {
      refuse(call, Refusal.of(RefusalReason.DEADLINE_BEFORE_START));
      return;
    }
    LanePair pair = pair(request);
    int running = concurrent.getOrDefault(request.workspace(), 0);
    if (running >= share.maxConcurrent()) {
      long waitMs = retryAfter.estimateMs(1, nowMs);
      refuse(call, Refusal.of(RefusalReason.WORKSPACE_LIMIT).retryAfter(waitMs));
      return;
    }
    if (!pair.lane(request.policy().callClass()).add(call)) {
      long waitMs = retryAfter.estimateMs(pair.size(), nowMs);
      refuse(call, Refusal.of(RefusalReason.BACKLOG_FULL).retryAfter(waitMs));
      return;
    }
    calls.put(request.id(), call);
    concurrent.merge(request.workspace(), 1, Integer::sum);
    offerToPlacement(pair, nowMs);
  }

  private LanePair pair(CallRequest request) {
    return lanes.computeIfAbsent(
        request.policy().modelOrService(), modelOrService -> new LanePair(settings.queueBound()));
  }

  private Lane lane(AdmittedCall call) {
    return pair(call.request).lane(call.request.policy().callClass());
  }

  private void offerToPlacement(LanePair pair, long nowMs) {
    Optional<Lane> next = pair.next(settings.outstanding(), nowMs);
    while (next.isPresent()) {
      Lane lane = next.get();
      lane.next().ifPresent(call -> requestPlacement(call, lane, nowMs));
      next = pair.next(settings.outstanding(), nowMs);
    }
  }

  private void requestPlacement(AdmittedCall call, Lane lane, long nowMs) {
    if (call.expired(nowMs)) {
      forget(call);
      refuse(call, Refusal.of(RefusalReason.DEADLINE_BEFORE_START));
      return;
    }
    // Set before the offer: if both duties share a thread, the answer arrives before offer returns.
    call.state = AdmittedCall.State.AWAITING_PLACEMENT;
    lane.addAwaitingPlacement(1);
    boolean offered =
        outlets
            .placement()
            .offer(new PlacementCommand.PlaceCall(call.request, call.attempt, call.avoid));
    if (!offered) {
      lane.addAwaitingPlacement(-1);
      requeue(call, lane, nowMs);
    }
  }

  private void requeue(AdmittedCall call, Lane lane, long nowMs) {
    call.state = AdmittedCall.State.QUEUED;
    lane.putBack(call);
    lane.block(nowMs);
  }

  private Optional<AdmittedCall> takeAwaiting(long id) {
    AdmittedCall call = calls.get(id);
    if (call == null || call.state != AdmittedCall.State.AWAITING_PLACEMENT) {
      return Optional.empty();
    }
    lane(call).addAwaitingPlacement(-1);
    return Optional.of(call);
  }

  private void dispatch(long id, CallTarget target, long nowMs) {
    Optional<AdmittedCall> awaiting = takeAwaiting(id);
    if (awaiting.isEmpty()) {
      releaseTarget(id);
      return;
    }
    AdmittedCall call = awaiting.get();
    pair(call.request).placed(call.request.policy().callClass());
    if (call.cancelled || call.expired(nowMs)) {
      releaseTarget(id);
      endWithRefusal(call, Refusal.of(RefusalReason.DEADLINE_BEFORE_START));
    } else if (outlets.dispatch().offer(new Dispatch(call.request, target, call.attempt))) {
      call.state = AdmittedCall.State.DISPATCHED;
      lane(call).releaseReservation(call);
      retryAfter.started(nowMs);
      if (call.attempt == 0) {
        retries.firstAttempt();
      }
    } else {
      releaseTarget(id);
      long waitMs = retryAfter.estimateMs(1, nowMs);
      endWithRefusal(call, Refusal.of(RefusalReason.RING_FULL).retryAfter(waitMs));
    }
    offerToPlacement(pair(call.request), nowMs);
  }

  private void noCapacity(AdmissionMessage.NoCapacity message, long nowMs) {
    Optional<AdmittedCall> awaiting = takeAwaiting(message.call());
    if (awaiting.isEmpty()) {
      return;
    }
    AdmittedCall call = awaiting.get();
    if (call.cancelled) {
      forget(call);
    } else if (call.expired(nowMs)) {
      endWithRefusal(call, Refusal.of(RefusalReason.DEADLINE_BEFORE_START));
    } else if (!message.targetsKnown()) {
      endWithRefusal(call, Refusal.of(RefusalReason.NO_TARGET).retryAfter(message.retryAfterMs()));
    } else {
      requeue(call, lane(call), nowMs);
    }
  }

  private void retryPlacement(LanePair pair, long nowMs) {
    pair.unblock();
    offerToPlacement(pair, nowMs);
  }

  private void retry(long id, RetryReason reason, FailureDomain domain, long nowMs) {
    AdmittedCall call = calls.get(id);
    if (call == null || call.state != AdmittedCall.State.DISPATCHED) {
      return;
    }
    if (!retries.allows(call, reason)) {
      endWithRefusal(call, Refusal.of(refusalReason(reason)));
      return;
    }
    counts.retried(reason);
    call.mayHaveRun |= reason == RetryReason.LOST_BEFORE_FIRST_TOKEN;
    call.attempt++;
    call.avoid = Optional.of(domain);
    call.backoffMs = retries.backoffMs(call);
    call.retryAtMs = nowMs + call.backoffMs;
    call.state = AdmittedCall.State.BACKING_OFF;
    backingOff.add(call);
    nextTickMs = Math.min(nextTickMs, call.retryAtMs);
  }

  private static RefusalReason refusalReason(RetryReason reason) {
    return switch (reason) {
      case CONNECT_FAILED -> RefusalReason.TARGET_UNREACHABLE;
      case TARGET_REFUSED -> RefusalReason.TARGET_REFUSED;
      default -> RefusalReason.CONNECTION_LOST;
    };
  }

  private void end(long id, int tokens) {
    AdmittedCall call = calls.get(id);
    if (call == null || call.state != AdmittedCall.State.DISPATCHED) {
      return;
    }
    lane(call).ended(call.request.workspace(), tokens);
    forget(call);
  }

  private void cancel(long id) {
    AdmittedCall call = calls.get(id);
    if (call == null || call.state == AdmittedCall.State.DISPATCHED) {
      return;
    }
    call.cancelled = true;
    if (call.state == AdmittedCall.State.QUEUED) {
      lane(call).remove(call);
      forget(call);
    } else if (call.state == AdmittedCall.State.BACKING_OFF) {
      backingOff.remove(call);
      forget(call);
    }
  }

  private void forget(AdmittedCall call) {
    lane(call).releaseReservation(call);
    calls.remove(call.request.id());
    concurrent.computeIfPresent(
        call.request.workspace(), (workspace, count) -> count == 1 ? null : count - 1);
  }

  /** Ends an accepted call, with a refusal unless its caller cancelled it. */
  private void endWithRefusal(AdmittedCall call, Refusal refusal) {
    forget(call);
    if (!call.cancelled) {
      refuse(call, refusal);
    }
  }

  private void refuse(AdmittedCall call, Refusal requested) {
    // A call with an attempt that may have run must not be reported as "not run".
    boolean claimsNotRun = call.mayHaveRun && requested.reason().kind() == RefusalKind.NOT_RUN;
    Refusal refusal = claimsNotRun ? Refusal.of(RefusalReason.CONNECTION_LOST) : requested;
    counts.refused(refusal.reason());
    CallRefused refused = new CallRefused(call.request, refusal);
    if (!pendingRefusals.isEmpty() || !outlets.refusals().offer(refused)) {
      pendingRefusals.addLast(refused);
    }
  }

  private void releaseTarget(long id) {
    PlacementCommand command = new PlacementCommand.ReleaseTarget(id);
    if (!pendingReleases.isEmpty() || !outlets.placement().offer(command)) {
      pendingReleases.addLast(command);
    }
  }

  @Override
  public void tick(long nowMs) {
    nextTickMs = nowMs + TICK_MS;
    while (!pendingRefusals.isEmpty() && outlets.refusals().offer(pendingRefusals.peekFirst())) {
      pendingRefusals.removeFirst();
    }
    while (!pendingReleases.isEmpty() && outlets.placement().offer(pendingReleases.peekFirst())) {
      pendingReleases.removeFirst();
    }
    for (LanePair pair : lanes.values()) {
      expire(pair.shortLane, nowMs);
      expire(pair.longLane, nowMs);
    }
    while (!backingOff.isEmpty() && backingOff.peek().retryAtMs <= nowMs) {
      AdmittedCall call = backingOff.remove();
      call.state = AdmittedCall.State.QUEUED;
      lane(call).putBack(call);
    }
    lanes.values().forEach(pair -> retryPlacement(pair, nowMs));
  }

  private void expire(Lane lane, long nowMs) {
    for (AdmittedCall call : lane.removeExpired(nowMs)) {
      endWithRefusal(call, Refusal.of(RefusalReason.DEADLINE_BEFORE_START));
    }
  }

  @Override
  public long nextTickMs() {
    return nextTickMs;
  }

  /** Number of waiting calls, for metrics. */
  public int waiting() {
    return lanes.values().stream().mapToInt(LanePair::size).sum();
  }
}
