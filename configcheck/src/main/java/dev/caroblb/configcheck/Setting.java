package dev.caroblb.configcheck;

/**
 * A value of an entry that is compared with the version in force.
 *
 * @param name name of the value
 * @param value what is compared
 * @param shown text for reports, which contains no secret
 */
public record Setting(String name, Object value, String shown) {
  /** A value that may be shown. */
  public static Setting of(String name, Object value) {
    return new Setting(name, value, String.valueOf(value));
  }
}
