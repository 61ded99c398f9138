package dev.caroblb.targets;

/**
 * How much of the engines of a service is in use.
 *
 * @param places requests that can run at once on all engines
 * @param requests requests that run or wait there
 * @param mostFreeTokens free memory, in tokens, of the engine with most of it that may get a
 *     request now, whether or not it is reserved
 */
public record ServiceUse(long places, long requests, double mostFreeTokens) {
  /** Fraction of places in use from which a lack of places, not of memory, delays requests. */
  private static final double NEARLY_ALL = 0.9;

  /** Whether under half of the places are in use. */
  public boolean underHalf() {
    return 2 * requests < places;
  }

  /** Whether nearly all places are in use. */
  public boolean placesScarce() {
    return requests >= NEARLY_ALL * places;
  }
}
