package dev.caroblb.forwarding;

import java.util.Optional;

/**
 * What is known of the size of a generation before it runs.
 *
 * @param promptTokens tokens of the prompt
 * @param maxOutputTokens most tokens that it may generate
 * @param hintedOutputTokens the caller's estimate of the tokens that it will generate
 */
public record GenerationSize(
    long promptTokens, long maxOutputTokens, Optional<Long> hintedOutputTokens) {
  /** Tokens in memory when the generation ends, by the best estimate. */
  public long expectedTokens() {
    return promptTokens + expectedOutputTokens();
  }

  /** Tokens that it will generate, by the best estimate. */
  public long expectedOutputTokens() {
    return Math.min(maxOutputTokens, hintedOutputTokens.orElse(maxOutputTokens / 2));
  }
}
