package dev.caroblb.core;

import java.util.Optional;

/**
 * Identifier of a generation at one incarnation of an engine. It contains the target, so that any
 * entry instance can route a resume without shared state.
 */
public record GenerationId(TargetId target, long targetIncarnation, String suffix) {
  public GenerationId {
    Names.requireValid("generation", suffix);
  }

  /** Parses the form written by {@link #toString()}; empty if the text has another form. */
  public static Optional<GenerationId> parse(String text) {
    String[] parts = text.split("\\.", -1);
    if (parts.length != 3 || !Names.valid(parts[0]) || !Names.valid(parts[2])) {
      return Optional.empty();
    }
    try {
      long incarnation = Long.parseLong(parts[1]);
      return Optional.of(new GenerationId(new TargetId(parts[0]), incarnation, parts[2]));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  /** The form {@code target.incarnation.suffix}. */
  @Override
  public String toString() {
    return target + "." + targetIncarnation + "." + suffix;
  }
}
