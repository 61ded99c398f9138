package dev.caroblb.settings;

import dev.caroblb.core.Names;
import dev.caroblb.settings.SettingsError.Kind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads typed values from one TOML table and records which keys were read. */
final class TableReader {
  static final String NAME_FORMAT =
      "1 to 63 letters, digits, '-' or '_', starting with a letter or digit";

  private final ErrorCollector errors;
  private final TomlTable table;
  private final String prefix;
  private final int line;
  private final Set<String> knownKeys = new HashSet<>();

  TableReader(ErrorCollector errors, TomlTable table, String prefix, int line) {
    this.errors = errors;
    this.table = table;
    this.prefix = prefix;
    this.line = line;
  }

  /** Line of a key, or of the table if the key is missing. */
  int lineOf(String key) {
    TomlPosition position = table.inputPositionOf(List.of(key));
    return position == null ? line : position.line();
  }

  Optional<String> requiredName(String key) {
    return requiredText(
        key, NAME_FORMAT, text -> Names.valid(text) ? Optional.of(text) : Optional.empty());
  }

  /** Reads a required text, which {@code parse} must accept. */
  <T> Optional<T> requiredText(String key, String allowed, Function<String, Optional<T>> parse) {
    return readText(key, allowed, parse, TableReader::describe, true);
  }

  /** Reads a required text whose value must not appear in error messages. */
  <T> Optional<T> requiredSecret(String key, String allowed, Function<String, Optional<T>> parse) {
    Function<Object, String> hide =
        value -> "a hidden value of " + value.toString().length() + " characters";
    return readText(key, allowed, parse, hide, true);
  }

  /** Reads a text that may be absent. */
  <T> Optional<T> optionalText(String key, String allowed, Function<String, Optional<T>> parse) {
    return readText(key, allowed, parse, TableReader::describe, false);
  }

  private <T> Optional<T> readText(
      String key,
      String allowed,
      Function<String, Optional<T>> parse,
      Function<Object, String> show,
      boolean required) {
    Optional<Object> value = value(key);
    if (value.isEmpty()) {
      if (required) {
        addMissing(key, allowed);
      }
      return Optional.empty();
    }
    if (!(value.get() instanceof String text)) {
      add(Kind.WRONG_TYPE, key, show.apply(value.get()), "a string, " + allowed);
      return Optional.empty();
    }
    Optional<T> parsed = parse.apply(text);
    if (parsed.isEmpty()) {
      add(Kind.NOT_ALLOWED, key, show.apply(text), allowed);
    }
    return parsed;
  }

  /** Reads an integer; returns {@code defaultValue} if the key is absent. */
  long integer(String key, long defaultValue, long min, long max) {
    Optional<Object> value = value(key);
    if (value.isEmpty()) {
      return defaultValue;
    }
    String allowed = "an integer from " + min + " to " + max;
    if (!(value.get() instanceof Long number)) {
      add(Kind.WRONG_TYPE, key, describe(value.get()), allowed);
      return defaultValue;
    }
    if (number < min || number > max) {
      add(Kind.NOT_ALLOWED, key, number.toString(), allowed);
      return defaultValue;
    }
    return number;
  }

  Optional<Boolean> requiredFlag(String key) {
    Optional<Object> value = value(key);
    if (value.isEmpty()) {
      addMissing(key, "true or false");
      return Optional.empty();
    }
    if (!(value.get() instanceof Boolean flag)) {
      add(Kind.WRONG_TYPE, key, describe(value.get()), "true or false");
      return Optional.empty();
    }
    return Optional.of(flag);
  }

  /** The table with the given key; an empty table if the key is absent. */
  TableReader table(String key) {
    Optional<Object> value = value(key);
    if (value.isPresent() && value.get() instanceof TomlTable inner) {
      return new TableReader(errors, inner, prefix + key + ".", lineOf(key));
    }
    value.ifPresent(
        other -> add(Kind.WRONG_TYPE, key, describe(other), "a table [" + prefix + key + "]"));
    return new TableReader(errors, Toml.parse(""), prefix + key + ".", line);
  }

  /** The tables of a required array of tables. */
  List<TableReader> tables(String key) {
    String allowed = "one or more tables [[" + prefix + key + "]]";
    Optional<Object> value = value(key);
    if (value.isEmpty()) {
      addMissing(key, allowed);
      return List.of();
    }
    if (!(value.get() instanceof TomlArray array)) {
      add(Kind.WRONG_TYPE, key, describe(value.get()), allowed);
      return List.of();
    }
    if (array.isEmpty()) {
      add(Kind.NOT_ALLOWED, key, "an empty array", allowed);
    }
    List<TableReader> readers = new ArrayList<>();
    for (int i = 0; i < array.size(); i++) {
      int elementLine = array.inputPositionOf(i).line();
      if (array.get(i) instanceof TomlTable inner) {
        readers.add(new TableReader(errors, inner, prefix + key + "." + i + ".", elementLine));
        continue;
      }
      errors.add(
          Kind.WRONG_TYPE, elementLine, prefix + key + "." + i, describe(array.get(i)), allowed);
    }
    return readers;
  }

  /** Reports every key that was not read. Call it after all known keys have been read. */
  void rejectUnknownKeys() {
    List<String> names = knownKeys.stream().sorted().toList();
    for (String key : table.keySet()) {
      if (!knownKeys.contains(key)) {
        errors.add(
            Kind.UNKNOWN_KEY,
            lineOf(key),
            prefix + key,
            "an unknown key",
            String.join(", ", names),
            "remove it or correct its spelling");
      }
    }
  }

  /** Reports a value that contradicts other values in the file. */
  void addContradiction(String key, String found, String allowed, String remedy) {
    errors.add(Kind.CONTRADICTION, lineOf(key), prefix + key, found, allowed, remedy);
  }

  private Optional<Object> value(String key) {
    knownKeys.add(key);
    return Optional.ofNullable(table.get(List.of(key)));
  }

  private void addMissing(String key, String allowed) {
    errors.add(Kind.MISSING, line, prefix + key, "no value", allowed, "add the key");
  }

  private void add(Kind kind, String key, String found, String allowed) {
    errors.add(kind, lineOf(key), prefix + key, found, allowed);
  }

  private static String describe(Object value) {
    if (value instanceof TomlTable) {
      return "a table";
    }
    if (value instanceof TomlArray) {
      return "an array";
    }
    return value instanceof String ? "\"" + value + "\"" : String.valueOf(value);
  }
}
