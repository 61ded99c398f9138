package dev.caroblb.standins.engine;

/**
 * How late and how completely an engine reports.
 *
 * @param loadLagUs age of the load when it is sent
 * @param cacheLagUs age of a cache event when it is sent at the earliest
 * @param cacheLossProbability probability that a cache event is never sent
 */
public record AnnouncementSettings(long loadLagUs, long cacheLagUs, double cacheLossProbability) {
  /** Assumptions: load from the last scheduler statistics, cache events through a publisher. */
  public static AnnouncementSettings defaults() {
    return new AnnouncementSettings(200_000, 1_500_000, 0.05);
  }
}
