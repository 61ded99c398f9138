package dev.caroblb.configcheck.routes;

import java.net.URI;
import java.net.URISyntaxException;

/** Normal form of path prefixes: no empty, "." or ".." segments and no escaped characters. */
final class NormalizedPrefix {
  private NormalizedPrefix() {}

  static String of(String prefix) {
    String path = prefix.replaceAll("/{2,}", "/");
    try {
      String normalized = new URI(path).normalize().getPath();
      return normalized == null || normalized.isEmpty() ? path : normalized;
    } catch (URISyntaxException e) {
      return path;
    }
  }
}
