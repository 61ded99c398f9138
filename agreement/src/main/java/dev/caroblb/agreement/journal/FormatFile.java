package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.journal.JournalError.Kind;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Names;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * File that identifies a data folder: version, cluster, incarnation and groups, one key=value pair
 * per line, followed by a checksum of these lines.
 */
record FormatFile(String cluster, String incarnation, List<GroupId> groups) {
  static final String NAME = "format";

  /** Far above the size that the largest number of groups needs. */
  static final long MAX_BYTES = 64 << 10;

  private static final String VERSION = "1";

  /** The second alternative accepts any body, so that another version is recognized as such. */
  private static final Pattern BODY =
      Pattern.compile(
          "version=(\\d{1,9})\n(?:cluster=(\\S+)\nincarnation=([0-9a-f]{32})\ngroups=(\\S*)\n|.*\n)",
          Pattern.DOTALL);

  private static final String CHECKSUM = "crc32c=";

  FormatFile {
    groups = List.copyOf(groups);
  }

  byte[] encode() {
    String names = String.join(",", groups.stream().map(GroupId::name).toList());
    String body =
        "version="
            + VERSION
            + "\ncluster="
            + cluster
            + "\nincarnation="
            + incarnation
            + "\ngroups="
            + names
            + "\n";
    return (body + checksumLine(body)).getBytes(StandardCharsets.UTF_8);
  }

  private static String checksumLine(String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    return CHECKSUM + String.format("%08x", RecordCodec.crc(bytes, 0, bytes.length)) + "\n";
  }

  static FormatFile decode(Path file, byte[] bytes) throws JournalException {
    String text = new String(bytes, StandardCharsets.UTF_8);
    int bodyEnd = text.lastIndexOf(CHECKSUM);
    if (bodyEnd < 0 || !text.substring(bodyEnd).equals(checksumLine(text.substring(0, bodyEnd)))) {
      throw new JournalException(Kind.BAD_FORMAT_FILE, file, 0, "checksum mismatch");
    }
    Matcher matcher = BODY.matcher(text.substring(0, bodyEnd));
    if (!matcher.matches()) {
      throw new JournalException(
          Kind.BAD_FORMAT_FILE,
          file,
          0,
          "version, cluster, incarnation or groups missing or malformed");
    }
    if (!matcher.group(1).equals(VERSION)) {
      throw new JournalException(
          Kind.WRONG_VERSION,
          file,
          0,
          "format version is " + matcher.group(1) + ", but this release reads version " + VERSION);
    }
    Optional<List<GroupId>> groups =
        Optional.ofNullable(matcher.group(4)).flatMap(FormatFile::groups);
    if (groups.isEmpty()) {
      throw new JournalException(
          Kind.BAD_FORMAT_FILE, file, 0, "cluster, incarnation or groups missing or invalid");
    }
    return new FormatFile(matcher.group(2), matcher.group(3), groups.get());
  }

  private static Optional<List<GroupId>> groups(String text) {
    List<String> names = Arrays.asList(text.split(",", -1));
    if (!names.stream().allMatch(Names::valid)) {
      return Optional.empty();
    }
    return Optional.of(names.stream().map(GroupId::new).toList());
  }
}
