package dev.caroblb.membership;

/**
 * Change of an engine's prefix cache.
 *
 * @param sequence number of the event within the incarnation; a gap means that events were lost
 * @param change kind of the change
 * @param prefix hash of the prefix, 0 for {@link Change#CLEARED}
 */
public record CacheEvent(long sequence, Change change, long prefix) {
  /** Kind of change to the prefix cache. */
  public enum Change {
    STORED,
    EVICTED,
    CLEARED
  }
}
