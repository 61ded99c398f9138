package dev.caroblb.agreement.journal;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Names of the files in the folder of a group. */
final class FileNames {
  /** Suffix of a file that is not complete yet. */
  static final String TEMPORARY_SUFFIX = ".new";

  private static final Pattern SEGMENT = Pattern.compile("log-([0-9]{1,18})-([0-9]{1,18})");
  private static final Pattern SNAPSHOT = Pattern.compile("snapshot-([0-9]{1,18})");

  private FileNames() {}

  static String segment(long firstIndex, long number) {
    return "log-" + firstIndex + "-" + number;
  }

  static String snapshot(long lastIndex) {
    return "snapshot-" + lastIndex;
  }

  /** Number of the segment, by which segments are ordered. */
  static Optional<Long> segmentNumber(String name) {
    Matcher matcher = SEGMENT.matcher(name);
    return matcher.matches() ? Optional.of(Long.valueOf(matcher.group(2))) : Optional.empty();
  }

  static Optional<Long> snapshotIndex(String name) {
    Matcher matcher = SNAPSHOT.matcher(name);
    return matcher.matches() ? Optional.of(Long.valueOf(matcher.group(1))) : Optional.empty();
  }
}
