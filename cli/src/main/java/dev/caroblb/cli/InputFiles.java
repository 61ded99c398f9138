package dev.caroblb.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** Reads files named on the command line. */
final class InputFiles {
  private InputFiles() {}

  static String readText(String file) {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new InputException("cannot read " + file + " (" + e + "); name an existing UTF-8 file");
    }
  }

  /** The token in a file, without the line end. */
  static Optional<String> readToken(String file) {
    if (file == null) {
      return Optional.empty();
    }
    String token = readText(file).strip();
    if (token.isEmpty() || !token.chars().allMatch(c -> c > ' ' && c < 127)) {
      throw new InputException(
          "token file " + file + " is empty or holds more than one word; write only the token");
    }
    return Optional.of(token);
  }
}
