package dev.caroblb.forwarding;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.routing.Route;
import dev.caroblb.targets.PlacementNeed;
import java.util.Optional;

/** Derives what a request needs of a target from the state that it has reached. */
final class PlacementNeeds {
  private PlacementNeeds() {}

  static PlacementNeed of(
      Exchange exchange, PlacementNeed.Purpose purpose, FailureDomain preferredDomain, long nowMs) {
    Route route = exchange.route();
    ForwardCall call = exchange.call();
    // Resumable streams need no backup: they are sent again and resume after their last event.
    boolean wantsBackup =
        !route.resumable() && call.generationSize().filter(GenerationSize::worthBackup).isPresent();
    return new PlacementNeed(
        purpose,
        exchange.service(),
        exchange.tokens(),
        exchange.promptTokens(),
        exchange.tried(),
        preferredDomain,
        wantsBackup,
        exchange.priority(),
        Math.max(0, exchange.arrivedMs() + route.objectiveMs() - nowMs),
        exchange.workspace(),
        call.fingerprint(),
        nowMs - exchange.arrivedMs(),
        Math.max(0, WaitLimits.queuedUntilMs(exchange) - nowMs),
        Math.max(0, exchange.deadlineMs() - nowMs),
        route.eventGapObjectiveMs(),
        softwareVersion(exchange, purpose));
  }

  /** Copied memory fits the version of its source; a stream goes on at the one that began it. */
  private static Optional<SoftwareVersion> softwareVersion(
      Exchange exchange, PlacementNeed.Purpose purpose) {
    return purpose == PlacementNeed.Purpose.MOVE
        ? exchange.target().map(source -> source.info().softwareVersion())
        : exchange.streamVersion();
  }
}
