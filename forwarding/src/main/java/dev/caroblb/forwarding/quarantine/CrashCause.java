package dev.caroblb.forwarding.quarantine;

import java.util.List;

/**
 * Parts of prompts of which one crashes engines; usually one part. Several cannot be told apart
 * yet.
 *
 * @param parts the parts
 * @param crashes number of crashes that each of them explains
 * @param lastCrashMs time of the last of them
 */
record CrashCause(List<PromptPart> parts, int crashes, long lastCrashMs) {
  CrashCause {
    parts = List.copyOf(parts);
  }

  /**
   * Whether a request is held back. One with some of several parts is not: it is either answered,
   * which clears them, or shows that the cause is among them.
   */
  boolean matches(List<PromptPart> requestParts) {
    return requestParts.containsAll(parts);
  }
}
