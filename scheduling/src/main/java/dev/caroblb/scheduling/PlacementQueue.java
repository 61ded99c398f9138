package dev.caroblb.scheduling;

import dev.caroblb.core.InstanceId;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.Target;
import dev.caroblb.targets.TargetPool;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** Requests of all services that wait until an engine has room. */
final class PlacementQueue {
  /** Maximum number of queued requests; further ones are placed without waiting. */
  private static final int MAX_QUEUED = 4_096;

  /**
   * Time in milliseconds from a placement to the first event under load. The prefill of 3,000
   * tokens takes 210 ms alone and two to three times that next to other prompts.
   */
  private static final long FIRST_EVENT_DELAY_MS = 700;

  /** Receives the requests that got a target. */
  interface Placed {
    void placed(QueuedRequest request, Target target);
  }

  private final TargetPool pool;
  private final Map<QueuedRequest.Key, QueuedRequest> queued = new HashMap<>();
  private final Map<String, ServiceQueue> services = new HashMap<>();
  private final Map<InstanceId, Long> lastTickets = new HashMap<>();
  private long sequence;

  PlacementQueue(TargetPool pool) {
    this.pool = pool;
  }

  ServiceQueue of(String service) {
    return services.computeIfAbsent(service, name -> new ServiceQueue());
  }

  int size() {
    return queued.size();
  }

  boolean isEmpty() {
    return queued.isEmpty();
  }

  boolean isFull() {
    return queued.size() >= MAX_QUEUED;
  }

  /** Number of requests that can still meet their objective. */
  long inTime() {
    return queued.size() - services.values().stream().mapToLong(ServiceQueue::lateSize).sum();
  }

  boolean contains(QueuedRequest request) {
    return queued.containsKey(request.key());
  }

  /**
   * Returns a request with its place in the order, without queueing it.
   *
   * @param earlier what is remembered of an earlier attempt of the same caller
   */
  QueuedRequest arrived(
      InstanceId instance,
      long ticket,
      PlacementNeed need,
      Optional<RejectedCallers.Rejection> earlier,
      long nowMs) {
    long arrivedMs = nowMs - need.sinceArrivalMs();
    long firstMs = earlier.map(RejectedCallers.Rejection::firstArrivalMs).orElse(arrivedMs);
    long objectiveMs = need.objectiveMs() + need.sinceArrivalMs();
    long delayMs = Math.min(FIRST_EVENT_DELAY_MS, objectiveMs / 2);
    ServiceQueue service = of(need.service());
    if (service.size() == 0) {
      service.idle();
    }
    double tag =
        service.shares(need.priority()).arrived(need.workspace().orElse(""), need.tokens());
    boolean persistent = earlier.filter(RejectedCallers.Rejection::persistent).isPresent();
    long inTimeUntilMs = firstMs + objectiveMs - delayMs;
    return new QueuedRequest(
        instance,
        ticket,
        need,
        nowMs,
        firstMs,
        Math.min(tag, earlier.map(RejectedCallers.Rejection::startTag).orElse(tag)),
        persistent ? Math.min(inTimeUntilMs, nowMs - 1) : inTimeUntilMs,
        nowMs + need.usefulMs() - delayMs,
        ++sequence,
        earlier.map(rejection -> rejection.repeats() + 1).orElse(0));
  }

  void add(QueuedRequest request, long nowMs) {
    queued.put(request.key(), request);
    of(request.need().service()).add(request, nowMs);
  }

  /** Records that a request got a target without being queued. */
  void servedAtOnce(QueuedRequest request) {
    PlacementNeed need = request.need();
    ServiceQueue service = of(need.service());
    if (service.size() == 0) {
      service.shares(need.priority()).served(request.startTag());
    }
  }

  /** Removes a request that gets no room. */
  void withdraw(QueuedRequest request) {
    ServiceQueue service = of(request.need().service());
    Optional.ofNullable(queued.remove(request.key())).ifPresent(service::remove);
    service
        .shares(request.need().priority())
        .withdrawn(request.workspace(), request.need().tokens());
  }

  /** Replaces a request by one that comes later in the order. */
  void replace(QueuedRequest request, QueuedRequest replacement, long nowMs) {
    of(request.need().service()).remove(request);
    add(replacement, nowMs);
  }

  /** Removes and returns a request that its instance cancelled. */
  Optional<QueuedRequest> remove(InstanceId instance, long ticket) {
    Optional<QueuedRequest> cancelled =
        Optional.ofNullable(queued.get(new QueuedRequest.Key(instance, ticket)));
    cancelled.ifPresent(this::withdraw);
    return cancelled;
  }

  /** Removes and returns the requests that no target may take. */
  List<QueuedRequest> takeUnservable(long nowMs) {
    List<QueuedRequest> unservable = new ArrayList<>(queued.values());
    unservable.removeIf(request -> pool.anyUsable(request.need(), nowMs));
    unservable.forEach(this::withdraw);
    return unservable;
  }

  /** Removes requests that an earlier process of the instance queued. */
  void removeOfEarlierProcess(InstanceId instance, long ticket) {
    Long last = lastTickets.put(instance, ticket);
    if (last == null || !ProcessSequence.sameProcess(last, ticket)) {
      withdrawIf(
          request ->
              request.instance().equals(instance)
                  && !ProcessSequence.sameProcess(request.ticket(), ticket));
    }
  }

  /** Removes requests queued before the given time, except those of the given instances. */
  void retainInstances(Collection<InstanceId> instances, long queuedBeforeMs) {
    lastTickets.keySet().retainAll(instances);
    withdrawIf(
        request ->
            request.queuedAtMs() < queuedBeforeMs && !instances.contains(request.instance()));
  }

  private void withdrawIf(Predicate<QueuedRequest> condition) {
    List<QueuedRequest> all = new ArrayList<>(queued.values());
    all.removeIf(condition.negate());
    all.forEach(this::withdraw);
  }

  /** Assigns targets to the requests for which there is room now; targets may have more room. */
  void place(Placed placed, long nowMs) {
    for (ServiceQueue service : services.values()) {
      service.roomChanged();
      place(service, placed, nowMs);
    }
  }

  /** Assigns a target to a request that was just queued, if there is room. */
  void placeArrived(QueuedRequest request, Placed placed, long nowMs) {
    ServiceQueue service = of(request.need().service());
    if (service.size() == 1) {
      service.roomChanged();
    }
    if (service.mayFit(request)) {
      place(service, placed, nowMs);
    }
  }

  private void place(ServiceQueue service, Placed placed, long nowMs) {
    service.place(pool, placed, nowMs).forEach(request -> queued.remove(request.key()));
  }

  /** Checks all queued requests; returns those that are not kept. */
  List<QueuedRequest> recheck(ServiceQueue.Check check, long nowMs) {
    List<QueuedRequest> rejected = new ArrayList<>();
    for (ServiceQueue service : services.values()) {
      rejected.addAll(service.recheck(check, nowMs));
    }
    rejected.forEach(this::withdraw);
    return rejected;
  }
}
