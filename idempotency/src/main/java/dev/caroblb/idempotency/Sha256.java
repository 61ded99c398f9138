package dev.caroblb.idempotency;

import dev.caroblb.core.CallRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** SHA-256 over length-prefixed parts, truncated to {@link Hash128}. */
final class Sha256 {
  private Sha256() {}

  /** Hash of a key, which identifies its record. */
  static Hash128 ofKey(CallKey key) {
    MessageDigest digest = newDigest();
    updateWithLength(digest, bytes(key.workspace().name()));
    updateWithLength(digest, bytes(key.text()));
    return truncate(digest);
  }

  /** Digest of a call, used to detect a key that is reused for a different call. */
  static Hash128 ofCall(CallRequest request) {
    MessageDigest digest = newDigest();
    updateWithLength(digest, bytes(request.workspace().name()));
    updateWithLength(digest, bytes(request.policy().call()));
    updateWithLength(digest, request.body().buffer());
    return truncate(digest);
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  private static void updateWithLength(MessageDigest digest, ByteBuffer part) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.remaining()).flip());
    digest.update(part);
  }

  private static Hash128 truncate(MessageDigest digest) {
    ByteBuffer bytes = ByteBuffer.wrap(digest.digest());
    return new Hash128(bytes.getLong(), bytes.getLong());
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
