package dev.caroblb.membership;

/**
 * Change of an engine's prefix cache.
 *
 * @param sequence number of the event within the incarnation; a gap means that events were lost
 * @param change what happened
 * @param prefix hash of the prefix, 0 for {@link Change#CLEARED}
 */
public record CacheEvent(long sequence, Change change, long prefix) {
  /** What happened to a cached prefix. */
  public enum Change {
    STORED,
    EVICTED,
    CLEARED
  }
}
