package dev.caroblb.scheduling;

import dev.caroblb.core.InstanceId;
import dev.caroblb.targets.PlacementNeed;

/**
 * A request that waits for room.
 *
 * @param instance the entry that requested the placement
 * @param ticket ticket of the placement request
 * @param need requirements of the request
 * @param queuedAtMs time at which the request arrived here
 * @param firstArrivalMs time of the first attempt of its caller, as far as it is known
 * @param startTag virtual start tag of its workspace's share
 * @param inTimeUntilMs time until which it can start and still meet its objective
 * @param usefulUntilMs time until which it can start while a response is of any use
 * @param sequence number that increases with each request
 * @param repeats number of times that its caller came back after a rejection
 */
record QueuedRequest(
    InstanceId instance,
    long ticket,
    PlacementNeed need,
    long queuedAtMs,
    long firstArrivalMs,
    double startTag,
    long inTimeUntilMs,
    long usefulUntilMs,
    long sequence,
    int repeats) {
  /** Identifies a request. */
  record Key(InstanceId instance, long ticket) {}

  Key key() {
    return new Key(instance, ticket);
  }

  String workspace() {
    return need.workspace().orElse("");
  }

  boolean inTime(long nowMs) {
    return nowMs <= inTimeUntilMs;
  }

  /** Returns the same request as one that is not expected to meet its objective. */
  QueuedRequest asLate(long nowMs) {
    return new QueuedRequest(
        instance,
        ticket,
        need,
        queuedAtMs,
        firstArrivalMs,
        startTag,
        Math.min(inTimeUntilMs, nowMs - 1),
        usefulUntilMs,
        sequence,
        repeats);
  }
}
