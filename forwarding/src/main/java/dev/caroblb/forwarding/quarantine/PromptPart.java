package dev.caroblb.forwarding.quarantine;

import java.util.List;
import java.util.stream.Collectors;

/**
 * What several requests may share and what may crash their targets: a part of their prompts, or all
 * of their contents ({@link RequestFingerprint}).
 *
 * @param id identifies the contents of the part; equal for all requests that share it
 */
public record PromptPart(String id) {
  /** Maximum length of an ID in characters; keeps messages between instances small. */
  public static final int MAX_ID_LENGTH = 64;

  /** Maximum number of shared parts that are considered per request. */
  public static final int MAX_PER_REQUEST = 32;

  private static final int MAX_LOGGED = 8;

  /** Formats the first parts for the log. */
  public static String toLogValue(List<PromptPart> parts) {
    return parts.isEmpty()
        ? "none"
        : parts.stream().limit(MAX_LOGGED).map(PromptPart::id).collect(Collectors.joining("+"));
  }

  @Override
  public String toString() {
    return id;
  }
}
