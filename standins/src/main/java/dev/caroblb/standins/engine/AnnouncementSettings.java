package dev.caroblb.standins.engine;

/**
 * Delay and loss of the reports of an engine.
 *
 * @param loadLagUs minimum age of a load report when it is sent
 * @param cacheLagUs minimum age of a cache event when it is sent
 * @param cacheLossProbability probability that a cache event is never sent
 */
public record AnnouncementSettings(long loadLagUs, long cacheLagUs, double cacheLossProbability) {
  /** For load from periodic scheduler statistics, and cache events through a publisher. */
  public static AnnouncementSettings defaults() {
    return new AnnouncementSettings(200_000, 1_500_000, 0.05);
  }
}
