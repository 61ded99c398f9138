package dev.caroblb.callers;

import dev.caroblb.http.IncomingRequest;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Locale;
import java.util.Optional;

/** Verifies bearer tokens against the hashes in the settings and team files. */
public final class BearerTokens {
  private static final String BEARER = "bearer ";

  private BearerTokens() {}

  /** SHA-256 of a token as 64 hex digits. */
  public static String sha256(String token) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(token.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  static boolean matches(IncomingRequest request, String expectedSha256) {
    Optional<String> token = bearer(request);
    if (token.isEmpty()) {
      return false;
    }
    byte[] actual = sha256(token.get()).getBytes(StandardCharsets.US_ASCII);
    byte[] expected = expectedSha256.toLowerCase(Locale.ROOT).getBytes(StandardCharsets.US_ASCII);
    return MessageDigest.isEqual(actual, expected);
  }

  private static Optional<String> bearer(IncomingRequest request) {
    return request
        .header("Authorization")
        .filter(value -> value.toLowerCase(Locale.ROOT).startsWith(BEARER))
        .map(value -> value.substring(BEARER.length()));
  }
}
