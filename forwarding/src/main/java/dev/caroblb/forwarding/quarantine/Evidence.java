package dev.caroblb.forwarding.quarantine;

import java.util.List;

/**
 * Evidence that instances exchange. It has ages instead of times, because clocks differ.
 *
 * @param crashes crashes of engines
 * @param answered suspects on which engines have generated
 */
public record Evidence(List<CrashReport> crashes, List<AnsweredPart> answered) {
  /** Maximum number of crashes. */
  public static final int MAX_CRASHES = 64;

  /** Maximum number of suspects of one crash. */
  public static final int MAX_SUSPECTS = 64;

  /** Maximum number of answered parts. */
  public static final int MAX_ANSWERED = 1_024;

  public Evidence {
    crashes = List.copyOf(crashes);
    answered = List.copyOf(answered);
  }
}
