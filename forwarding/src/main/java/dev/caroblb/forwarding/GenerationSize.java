package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * Size of a generation as known before it runs.
 *
 * @param promptTokens number of prompt tokens
 * @param maxOutputTokens maximum number of output tokens
 * @param hintedOutputTokens the caller's estimate of the number of output tokens
 */
public record GenerationSize(
    long promptTokens, long maxOutputTokens, Optional<Long> hintedOutputTokens) {
  /** Expected number of tokens in memory when the generation ends. */
  public long expectedTokens() {
    return promptTokens + expectedOutputTokens();
  }

  /** Expected number of output tokens. */
  public long expectedOutputTokens() {
    return Math.min(maxOutputTokens, hintedOutputTokens.orElse(maxOutputTokens / 2));
  }
}
