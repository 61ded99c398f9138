package dev.caroblb.http;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** One header field of a message, as received or sent. */
public record HeaderField(String name, String value) {
  /** Whether the field has the given name, ignoring case. */
  public boolean named(String other) {
    return name.equalsIgnoreCase(other);
  }

  /** Returns the values by lower-case name; for repeated names the last value is used. */
  public static Map<String, String> byName(List<HeaderField> fields) {
    Map<String, String> values = new HashMap<>();
    for (HeaderField field : fields) {
      values.put(field.name().toLowerCase(Locale.ROOT), field.value());
    }
    return values;
  }

  static List<HeaderField> of(Map<String, String> values) {
    List<HeaderField> fields = new ArrayList<>();
    values.forEach((name, value) -> fields.add(new HeaderField(name, value)));
    return fields;
  }
}
