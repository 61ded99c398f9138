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
  /**
   * Minimum number of expected output tokens for a backup. Shorter generations mostly end within
   * the notice period of a leaving engine.
   */
  private static final long MIN_BACKUP_OUTPUT_TOKENS = 200;

  /** Expected number of tokens in memory when the generation ends. */
  public long expectedTokens() {
    return promptTokens + expectedOutputTokens();
  }

  /** Expected number of output tokens. */
  public long expectedOutputTokens() {
    return Math.min(maxOutputTokens, hintedOutputTokens.orElse(maxOutputTokens / 2));
  }

  /** Whether a copy of the memory is worth its cost while the generation runs. */
  boolean worthBackup() {
    return expectedOutputTokens() >= MIN_BACKUP_OUTPUT_TOKENS;
  }
}
