package dev.caroblb.configuration;

import java.nio.charset.StandardCharsets;

/** Name and text of one team file of a publish. */
public record PublishedFile(String name, String text) {
  /** Size of the text in UTF-8. */
  int sizeBytes() {
    return text.getBytes(StandardCharsets.UTF_8).length;
  }
}
