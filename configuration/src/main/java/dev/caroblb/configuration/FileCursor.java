package dev.caroblb.configuration;

/**
 * Position in the sequence of accepted files, ordered by the number that changed them and by name.
 */
public record FileCursor(long number, String file) implements Comparable<FileCursor> {
  /** The position behind all files that were changed by {@code number} or earlier. */
  public static FileCursor after(long number) {
    return new FileCursor(number + 1, "");
  }

  @Override
  public int compareTo(FileCursor other) {
    int byNumber = Long.compare(number, other.number);
    return byNumber != 0 ? byNumber : file.compareTo(other.file);
  }
}
