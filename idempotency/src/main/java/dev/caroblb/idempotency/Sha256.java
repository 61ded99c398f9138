package dev.caroblb.idempotency;

import dev.caroblb.core.CallRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/** SHA-256 over parts that are separated by their lengths, cut to {@link Hash128}. */
final class Sha256 {
  private Sha256() {}

  /** Identity of a key, under which its record is found. */
  static Hash128 ofKey(CallKey key) {
    MessageDigest digest = newDigest();
    update(digest, bytes(key.workspace().name()));
    update(digest, bytes(key.text()));
    return cut(digest);
  }

  /** Digest of a call, by which a key that is used for two different calls is noticed. */
  static Hash128 ofCall(CallRequest request) {
    MessageDigest digest = newDigest();
    update(digest, bytes(request.workspace().name()));
    update(digest, bytes(request.policy().call()));
    update(digest, request.body().buffer());
    return cut(digest);
  }

  private static ByteBuffer bytes(String text) {
    return ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
  }

  private static void update(MessageDigest digest, ByteBuffer part) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.remaining()).flip());
    digest.update(part);
  }

  private static Hash128 cut(MessageDigest digest) {
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
