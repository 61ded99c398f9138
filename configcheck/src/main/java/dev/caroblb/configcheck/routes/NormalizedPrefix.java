package dev.caroblb.configcheck.routes;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.regex.Pattern;

/** Normal form of path prefixes: no empty, "." or ".." segments and no needless escapes. */
final class NormalizedPrefix {
  private static final Pattern ESCAPE = Pattern.compile("%([0-9a-fA-F]{2})");
  private static final Pattern UNRESERVED = Pattern.compile("[A-Za-z0-9._~-]");
  private static final int HEX = 16;

  private NormalizedPrefix() {}

  static String of(String prefix) {
    String path = unescaped(prefix).replaceAll("/{2,}", "/");
    try {
      return new URI(path).normalize().getRawPath();
    } catch (URISyntaxException e) {
      return path;
    }
  }

  /** Only escapes of unreserved characters are equivalent to the character (RFC 3986, 6.2.2.2). */
  private static String unescaped(String path) {
    return ESCAPE
        .matcher(path)
        .replaceAll(
            match -> {
              String character = String.valueOf((char) Integer.parseInt(match.group(1), HEX));
              return UNRESERVED.matcher(character).matches() ? character : match.group();
            });
  }
}
