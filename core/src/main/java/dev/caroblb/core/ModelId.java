package dev.caroblb.core;

import java.util.Optional;

/** Model with optional adapter and version, which an engine loads as one unit. */
public record ModelId(String name, Optional<String> adapter, Optional<String> version) {
  public ModelId {
    Names.requireValid("model", name);
    adapter.ifPresent(text -> Names.requireValid("adapter", text));
    version.ifPresent(text -> Names.requireValid("version", text));
  }

  /** A model without adapter and version. */
  public static ModelId of(String name) {
    return new ModelId(name, Optional.empty(), Optional.empty());
  }

  /** Parses the form written by {@link #toString()}. */
  public static ModelId parse(String text) {
    String[] versionParts = text.split("@", 2);
    String[] adapterParts = versionParts[0].split("\\+", 2);
    return new ModelId(
        adapterParts[0],
        adapterParts.length == 2 ? Optional.of(adapterParts[1]) : Optional.empty(),
        versionParts.length == 2 ? Optional.of(versionParts[1]) : Optional.empty());
  }

  /** The form {@code name+adapter@version}, without the parts that are absent. */
  @Override
  public String toString() {
    return name + adapter.map(a -> "+" + a).orElse("") + version.map(v -> "@" + v).orElse("");
  }
}
