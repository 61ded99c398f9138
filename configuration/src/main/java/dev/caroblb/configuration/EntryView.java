package dev.caroblb.configuration;

/**
 * Installed configuration of an entry, with the lease under which it admits new calls.
 *
 * @param snapshot the installed configuration
 * @param leaseValidUntilMs local monotonic time at which the lease ends and new calls are refused
 */
public record EntryView(ConfigurationSnapshot snapshot, long leaseValidUntilMs) {
  /** Whether new calls may be admitted at the given monotonic time. */
  public boolean admitsAt(long nowMs) {
    return nowMs < leaseValidUntilMs;
  }
}
