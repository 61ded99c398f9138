package dev.caroblb.forwarding.quarantine;

import dev.caroblb.core.Payload;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * Identifies requests with the same contents. A request that callers send again may crash its
 * targets although no part of its prompt does, or although it has no prompt. Its fingerprint is
 * therefore treated as one more part that such requests share.
 */
public final class RequestFingerprint {
  /** Contains a character that the identities of prompt parts do not have. */
  private static final String PREFIX = "request:";

  /** Length of the digest in bytes; short, because evidence names many of them. */
  private static final int DIGEST_BYTES = 8;

  private RequestFingerprint() {}

  /**
   * Returns the fingerprint of a request.
   *
   * @param key key of the caller's workspace, or an empty text
   * @param host host that the request names
   * @param method method of the request
   * @param target path and query
   * @param body body of the request
   */
  public static PromptPart of(String key, String host, String method, String target, Payload body) {
    MessageDigest digest = sha256();
    for (String text : new String[] {key, host, method, target}) {
      digest.update(text.getBytes(StandardCharsets.UTF_8));
      digest.update((byte) 0);
    }
    digest.update(body.buffer());
    return new PromptPart(PREFIX + HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES));
  }

  /** Returns the text of a part that is a fingerprint; empty for a part of a prompt. */
  public static Optional<String> idOf(PromptPart part) {
    return isFingerprint(part) ? Optional.of(part.id()) : Optional.empty();
  }

  static boolean isFingerprint(PromptPart part) {
    return part.id().startsWith(PREFIX);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }
}
