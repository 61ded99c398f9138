package dev.caroblb.membership;

/**
 * Size of an instance and what is left of it, as it reports to the others.
 *
 * @param milliCores processor time that it may use, in thousandths of a core
 * @param linkKbps bandwidth of its network link, in kbit/s
 * @param freePercent smallest part that is left of processor, link and connections, in percent;
 *     rounded to few values, so that reports rarely differ
 */
public record InstanceResources(long milliCores, long linkKbps, int freePercent) {
  private static final int MAX_PERCENT = 100;

  /** Whether the values can come from an instance; a message may hold any numbers. */
  public boolean valid() {
    return milliCores > 0 && linkKbps > 0 && freePercent >= 0 && freePercent <= MAX_PERCENT;
  }
}
