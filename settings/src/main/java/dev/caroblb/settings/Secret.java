package dev.caroblb.settings;

/** Text that must not appear in logs or error messages. */
public record Secret(String text) {
  @Override
  public String toString() {
    return "hidden";
  }
}
