package dev.caroblb.pacing;

/**
 * What an announcement of a target says about its warm-up.
 *
 * @param leftMs time in milliseconds for which the target still stays cold; 0 if it is warm
 * @param ageMs time in milliseconds since the announcement
 * @param sequence number of the announcement within the run of the target
 */
public record AnnouncedWarmUp(long leftMs, long ageMs, long sequence) {
  /** The target is warm, by its first announcement. */
  public static final AnnouncedWarmUp WARM = new AnnouncedWarmUp(0, 0, 0);

  /** Time in milliseconds, from the announcement on, for which the target stays cold. */
  long leftThenMs() {
    return leftMs > 0 ? leftMs + ageMs : 0;
  }
}
