package dev.caroblb.configcheck;

/**
 * One result of a check.
 *
 * @param file name of the file; empty until {@link #in} sets it
 * @param place place in the file: a line, a path of keys or the name of an entry
 * @param found the value found, or a description of it
 * @param remedy how to correct the file; empty if there is nothing to correct
 */
public record Finding(
    Kind kind, Severity severity, String file, String place, String found, String remedy) {

  /** An error, for which the instances refuse the configuration. */
  public static Finding error(String place, String found, String remedy) {
    return new Finding(Kind.ERROR, Severity.ERROR, "", place, found, remedy);
  }

  /** An entry that can never match or never takes effect. */
  public static Finding unreachable(String place, String found, String remedy) {
    return new Finding(Kind.UNREACHABLE, Severity.WARNING, "", place, found, remedy);
  }

  /** Values that contradict each other. */
  public static Finding contradiction(String place, String found, String remedy) {
    return new Finding(Kind.CONTRADICTION, Severity.WARNING, "", place, found, remedy);
  }

  /** A difference from the version in force. */
  public static Finding difference(String place, String found) {
    return new Finding(Kind.DIFFERENCE, Severity.INFO, "", place, found, "");
  }

  /** The same finding in the file with the given name. */
  public Finding in(String name) {
    return new Finding(kind, severity, name, place, found, remedy);
  }
}
