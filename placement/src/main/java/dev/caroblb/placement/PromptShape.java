package dev.caroblb.placement;

import dev.caroblb.core.Payload;
import java.nio.ByteBuffer;

/**
 * Size and shared prefix of a prompt.
 *
 * @param tokens estimated number of tokens
 * @param prefix hash of the prefix that calls may share; 0 when there is none
 * @param prefixTokens estimated number of tokens of that prefix
 */
public record PromptShape(int tokens, long prefix, int prefixTokens) {
  // Common ratio for subword tokenizers on European text; only an estimate is needed.
  private static final int BYTES_PER_TOKEN = 4;
  private static final int PREFIX_BYTES = 1_024;

  /** A prompt without a shared prefix. */
  public static PromptShape withoutPrefix(int tokens) {
    return new PromptShape(tokens, 0, 0);
  }

  /** Estimates the shape from the bytes of a call; its first KiB counts as the prefix. */
  public static PromptShape of(Payload body, boolean prefixLocality) {
    int tokens = body.size() / BYTES_PER_TOKEN;
    if (!prefixLocality || body.size() < PREFIX_BYTES) {
      return withoutPrefix(tokens);
    }
    ByteBuffer bytes = body.buffer();
    long hash = 0xcbf29ce484222325L; // offset basis of 64-bit FNV-1a
    for (int i = 0; i < PREFIX_BYTES; i++) {
      hash = (hash ^ (bytes.get(i) & 0xff)) * 0x100000001b3L;
    }
    return new PromptShape(tokens, hash, PREFIX_BYTES / BYTES_PER_TOKEN);
  }
}
