package dev.caroblb.core;

import java.nio.charset.StandardCharsets;

/**
 * Version of the software that a target runs. Versions have no order. What two versions write does
 * not fit together, so a stream and its memory stay at the version that began it.
 *
 * @param name its name; empty if the target states none
 */
public record SoftwareVersion(String name) {
  /** Maximum length of a name in bytes of UTF-8. */
  public static final int MAX_BYTES = 64;

  /** Of targets that state no version; they are taken as equal. */
  public static final SoftwareVersion UNSTATED = new SoftwareVersion("");

  public SoftwareVersion {
    if (name.getBytes(StandardCharsets.UTF_8).length > MAX_BYTES
        || name.chars().anyMatch(Character::isISOControl)) {
      throw new IllegalArgumentException(
          "software version is too long or contains control characters; use at most "
              + MAX_BYTES
              + " bytes of printable characters");
    }
  }

  @Override
  public String toString() {
    return name.isEmpty() ? "unstated" : name;
  }
}
