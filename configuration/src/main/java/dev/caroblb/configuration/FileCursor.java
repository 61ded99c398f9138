package dev.caroblb.configuration;

/**
 * Position in the sequence of accepted files, which is ordered by publish number, then by file
 * name.
 */
public record FileCursor(long number, String file) implements Comparable<FileCursor> {
  /**
   * Returns the cursor that follows all files published under {@code number} or an earlier number.
   */
  public static FileCursor after(long number) {
    return new FileCursor(number + 1, "");
  }

  @Override
  public int compareTo(FileCursor other) {
    int byNumber = Long.compare(number, other.number);
    return byNumber != 0 ? byNumber : file.compareTo(other.file);
  }
}
