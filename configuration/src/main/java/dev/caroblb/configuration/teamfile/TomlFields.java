package dev.caroblb.configuration.teamfile;

import dev.caroblb.core.Names;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/** Reads the fields of one TOML table and collects all errors found in them. */
final class TomlFields {
  private static final String NAME_RULE =
      "1 to 63 letters, digits, '-' or '_', starting with a letter or digit";

  private final ErrorList errors;
  private final TomlTable table;
  private final String path;
  private final int line;
  private final TreeSet<String> knownKeys = new TreeSet<>();

  TomlFields(ErrorList errors, TomlTable table, String path, int line) {
    this.errors = errors;
    this.table = table;
    this.path = path;
    this.line = line;
  }

  /** A required field that holds a name. */
  Optional<String> requiredName(String key) {
    return required(key, NAME_RULE, optionalName(key));
  }

  /** A field that holds a name and may be absent. */
  Optional<String> optionalName(String key) {
    return text(key, NAME_RULE, Names::valid);
  }

  /** A required text that satisfies a rule, which {@code allowed} describes. */
  Optional<String> requiredText(String key, String allowed, Predicate<String> rule) {
    return required(key, allowed, text(key, allowed, rule));
  }

  private Optional<String> text(String key, String allowed, Predicate<String> rule) {
    return value(key).flatMap(value -> checkedText(key, value, allowed, rule));
  }

  private Optional<String> checkedText(
      String key, Object value, String allowed, Predicate<String> rule) {
    if (value instanceof String && rule.test((String) value)) {
      return Optional.of((String) value);
    }
    addError(key, value, allowed);
    return Optional.empty();
  }

  /** A required whole number from {@code min} to {@code max}. */
  Optional<Long> requiredNumber(String key, long min, long max) {
    return required(key, numberRule(min, max), optionalNumber(key, min, max));
  }

  /** A whole number from {@code min} to {@code max} that may be absent. */
  Optional<Long> optionalNumber(String key, long min, long max) {
    return value(key).flatMap(value -> checkedNumber(key, value, min, max));
  }

  private Optional<Long> checkedNumber(String key, Object value, long min, long max) {
    if (value instanceof Long && (Long) value >= min && (Long) value <= max) {
      return Optional.of((Long) value);
    }
    addError(key, value, numberRule(min, max));
    return Optional.empty();
  }

  private static String numberRule(long min, long max) {
    return "a whole number from " + min + " to " + max;
  }

  /** A required boolean. */
  Optional<Boolean> requiredFlag(String key) {
    return required(key, "true or false", optionalFlag(key));
  }

  /** A boolean that may be absent. */
  Optional<Boolean> optionalFlag(String key) {
    return value(key).flatMap(value -> checkedFlag(key, value));
  }

  private Optional<Boolean> checkedFlag(String key, Object value) {
    if (value instanceof Boolean) {
      return Optional.of((Boolean) value);
    }
    addError(key, value, "true or false");
    return Optional.empty();
  }

  /** An array of tables; empty if the key is absent. */
  Optional<TomlArray> tables(String key) {
    return value(key).flatMap(value -> checkedTables(key, value));
  }

  private Optional<TomlArray> checkedTables(String key, Object value) {
    if (value instanceof TomlArray && holdsOnlyTables((TomlArray) value)) {
      return Optional.of((TomlArray) value);
    }
    addError(key, value, "tables that start with [[" + key + "]]");
    return Optional.empty();
  }

  private static boolean holdsOnlyTables(TomlArray array) {
    return array.toList().stream().allMatch(TomlTable.class::isInstance);
  }

  /** A table; empty if the key is absent. */
  Optional<TomlTable> table(String key) {
    return value(key).flatMap(value -> checkedTable(key, value));
  }

  private Optional<TomlTable> checkedTable(String key, Object value) {
    if (value instanceof TomlTable) {
      return Optional.of((TomlTable) value);
    }
    addError(key, value, "a table that starts with [" + pathOf(key) + "]");
    return Optional.empty();
  }

  /** Whether the key is present, even with an invalid value. */
  boolean has(String key) {
    return table.keySet().contains(key);
  }

  /** Reports every key that was never read from this table. */
  void rejectUnknownKeys() {
    for (String key : table.keySet()) {
      if (!knownKeys.contains(key)) {
        errors.add(
            lineOf(key),
            pathOf(key),
            "an unknown key",
            String.join(", ", knownKeys),
            "remove the key or correct its spelling");
      }
    }
  }

  /** Reports an invalid value of a key. */
  void addError(String key, Object value, String allowed) {
    errors.add(lineOf(key), pathOf(key), describe(value), allowed, "correct the value");
  }

  /** Reports an error of a key with a specific remedy. */
  void addError(String key, String found, String allowed, String remedy) {
    errors.add(lineOf(key), pathOf(key), found, allowed, remedy);
  }

  private <T> Optional<T> required(String key, String allowed, Optional<T> value) {
    if (!has(key)) {
      errors.addMissing(line, pathOf(key), allowed);
    }
    return value;
  }

  private Optional<Object> value(String key) {
    knownKeys.add(key);
    return has(key) ? Optional.ofNullable(table.get(List.of(key))) : Optional.empty();
  }

  private int lineOf(String key) {
    TomlPosition position = has(key) ? table.inputPositionOf(List.of(key)) : null;
    return position == null ? line : position.line();
  }

  private String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  private static String describe(Object value) {
    if (value instanceof String) {
      return '"' + (String) value + '"';
    }
    if (value instanceof TomlTable) {
      return "a table";
    }
    if (value instanceof TomlArray) {
      return "an array";
    }
    return String.valueOf(value);
  }
}
