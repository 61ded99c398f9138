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
      throw new InputException(
          "cannot read " + file + " (" + e + "); expected a readable UTF-8 file");
    }
  }

  /** Reads a token without the surrounding whitespace; empty when no file is given. */
  static Optional<String> readToken(String file) {
    if (file == null) {
      return Optional.empty();
    }
    String token = readText(file).strip();
    if (token.isEmpty() || !token.chars().allMatch(c -> c > ' ' && c < 127)) {
      throw new InputException(
          "token file " + file + " must contain exactly one token of printable ASCII characters");
    }
    return Optional.of(token);
  }
}
