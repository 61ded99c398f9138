package dev.caroblb.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HexFormat;
import java.util.List;

/**
 * Team files submitted together under one number. They replace the earlier files of the same names.
 *
 * @param number number of the publish, greater than that of every accepted publish
 * @param request identity that the publisher gave to this publish, reported as the winner if
 *     another publish conflicts with it
 * @param files files to replace, ordered by name
 */
public record Publish(long number, String request, List<PublishedFile> files) {
  public Publish {
    List<PublishedFile> sorted = new ArrayList<>(files);
    sorted.sort(Comparator.comparing(PublishedFile::name));
    files = List.copyOf(sorted);
  }

  /**
   * SHA-256 of the file names and texts. It excludes the number and the request, so that a resend
   * with another request identity is recognised.
   */
  public String digest() {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      for (PublishedFile file : files) {
        update(sha256, file.name());
        update(sha256, file.text());
      }
      return HexFormat.of().formatHex(sha256.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }

  /**
   * Hashes the length before the bytes, so that two different lists of texts never hash the same
   * bytes.
   */
  private static void update(MessageDigest digest, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    for (int shift = 24; shift >= 0; shift -= 8) {
      digest.update((byte) (bytes.length >>> shift));
    }
    digest.update(bytes);
  }
}
