package dev.caroblb.settings;

import dev.caroblb.settings.SettingsError.Kind;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.TomlParseError;

/** Collects all errors of one settings file. */
final class ErrorCollector {
  private final Path file;
  private final List<SettingsError> errors = new ArrayList<>();

  ErrorCollector(Path file) {
    this.file = file;
  }

  void add(Kind kind, int line, String key, String found, String allowed) {
    add(kind, line, key, found, allowed, "set an allowed value");
  }

  void add(Kind kind, int line, String key, String found, String allowed, String remedy) {
    errors.add(new SettingsError(kind, file, line, key, found, allowed, remedy));
  }

  void addSyntax(TomlParseError error) {
    add(
        Kind.SYNTAX,
        error.position().line(),
        "",
        "a syntax error at column " + error.position().column() + " (" + error.getMessage() + ")",
        "TOML 1.0",
        "correct the syntax");
  }

  boolean isEmpty() {
    return errors.isEmpty();
  }

  /**
   * Returns the errors sorted by line. If there is a syntax error, errors that can be caused by it,
   * such as missing keys, are omitted, because the parser skips lines that it cannot parse.
   */
  List<SettingsError> sorted() {
    boolean syntax = errors.stream().anyMatch(error -> error.kind() == Kind.SYNTAX);
    return errors.stream()
        .filter(error -> !syntax || !skippedLineCanCause(error.kind()))
        .sorted(Comparator.comparingInt(SettingsError::line))
        .toList();
  }

  private static boolean skippedLineCanCause(Kind kind) {
    return kind == Kind.MISSING || kind == Kind.CONTRADICTION;
  }
}
