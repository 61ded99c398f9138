package dev.caroblb.configuration;

/**
 * Configuration under which an entry admits new calls.
 *
 * @param snapshot the installed configuration
 * @param leaseValidUntilMs monotonic time of this instance from which new calls are refused
 */
public record EntryView(ConfigurationSnapshot snapshot, long leaseValidUntilMs) {
  /** Whether new calls may be admitted at the given monotonic time. */
  public boolean admitsAt(long nowMs) {
    return nowMs < leaseValidUntilMs;
  }
}
