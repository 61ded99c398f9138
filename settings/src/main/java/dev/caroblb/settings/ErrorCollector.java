package dev.caroblb.settings;

import dev.caroblb.settings.SettingsError.Kind;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.tomlj.TomlParseError;

/** Collects all mistakes of one file. */
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
   * The mistakes by line. Next to a syntax error, keys that seem to be missing are left out,
   * because the parser skips lines it cannot read.
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
