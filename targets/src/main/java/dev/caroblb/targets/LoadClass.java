package dev.caroblb.targets;

/**
 * Classes of equal load, in which times at different targets are compared. There are three kinds:
 * pauses and longest pauses of streams, by the number of requests at the target, and times to the
 * first event, by the number of prompt tokens that need prefill before it.
 */
public final class LoadClass {
  /** Number of classes of all kinds. */
  public static final int COUNT = 32;

  /** Number of classes by requests. */
  static final int REQUEST_CLASSES = 8;

  static final int FIRST_EVENTS = REQUEST_CLASSES;
  static final int LONGEST_PAUSES = 24;

  private static final int PROMPT_CLASSES = LONGEST_PAUSES - FIRST_EVENTS;
  private static final int REQUESTS_PER_CLASS = 4;
  private static final int PROMPT_TOKENS_PER_CLASS = 2_048;

  private LoadClass() {}

  /** Class of the pauses of streams at a target with this number of requests. */
  public static int pause(long requests) {
    return byRequests(requests);
  }

  /** Class of the longest pause in a reporting interval. */
  static int longestPause(long requests) {
    return LONGEST_PAUSES + byRequests(requests);
  }

  /** Class of the time to a first event after the prefill of this number of prompt tokens. */
  public static int firstEvent(long promptTokens) {
    long index = Math.max(0, promptTokens) / PROMPT_TOKENS_PER_CLASS;
    return FIRST_EVENTS + (int) Math.min(PROMPT_CLASSES - 1, index);
  }

  static int byRequests(long requests) {
    long index = Math.max(0, requests) / REQUESTS_PER_CLASS;
    return (int) Math.min(REQUEST_CLASSES - 1, index);
  }

  static boolean isFirstEvent(int loadClass) {
    return loadClass >= FIRST_EVENTS && loadClass < LONGEST_PAUSES;
  }

  static boolean isLongestPause(int loadClass) {
    return loadClass >= LONGEST_PAUSES;
  }

  /** Mean number of prompt tokens in a class of first events. */
  static double promptTokens(int loadClass) {
    return (loadClass - FIRST_EVENTS + 0.5) * PROMPT_TOKENS_PER_CLASS;
  }
}
