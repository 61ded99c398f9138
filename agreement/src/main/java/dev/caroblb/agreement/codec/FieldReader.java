package dev.caroblb.agreement.codec;

import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.Member;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.msgpack.core.MessageUnpacker;

/** Reads the fields that several messages share and checks their bounds. */
final class FieldReader {
  private static final int INCARNATION_BYTES = 16;
  private static final int MAX_NAME_BYTES = 63;
  private static final int MAX_MEMBERS = 64;

  /** The sender closes a batch at 1,024 entries. */
  private static final int MAX_ENTRIES = 4_096;

  private final MessageUnpacker unpacker;
  private final int limit;

  /** Reads from a message of the given size, which no field can exceed. */
  FieldReader(MessageUnpacker unpacker, int limit) {
    this.unpacker = unpacker;
    this.limit = limit;
  }

  /** A number that is not negative. */
  long count() throws IOException {
    long value = unpacker.unpackLong();
    return check(value >= 0, value);
  }

  long number() throws IOException {
    return unpacker.unpackLong();
  }

  boolean flag() throws IOException {
    return unpacker.unpackBoolean();
  }

  GroupId group() throws IOException {
    return new GroupId(name());
  }

  String incarnation() throws IOException {
    int size = unpacker.unpackBinaryHeader();
    check(size == INCARNATION_BYTES, size);
    return HexFormat.of().formatHex(unpacker.readPayload(size));
  }

  Payload bytes() throws IOException {
    int size = unpacker.unpackBinaryHeader();
    check(size <= limit, size);
    return Payload.copyOf(unpacker.readPayload(size));
  }

  List<Member> members() throws IOException {
    int size = array(MAX_MEMBERS);
    List<Member> members = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      members.add(new Member(new InstanceId(name()), incarnation()));
    }
    return members;
  }

  /** Entries that follow the given index. */
  List<LogEntry> entries(long previousIndex) throws IOException {
    int size = array(MAX_ENTRIES);
    List<LogEntry> entries = new ArrayList<>();
    for (int i = 1; i <= size; i++) {
      long term = count();
      entries.add(
          new LogEntry(previousIndex + i, term, KindNumbers.kind(unpacker.unpackInt()), bytes()));
    }
    return entries;
  }

  private String name() throws IOException {
    int size = unpacker.unpackRawStringHeader();
    check(size <= MAX_NAME_BYTES, size);
    return new String(unpacker.readPayload(size), StandardCharsets.UTF_8);
  }

  private int array(int max) throws IOException {
    int size = unpacker.unpackArrayHeader();
    check(size <= max, size);
    return size;
  }

  private static long check(boolean valid, long value) {
    if (!valid) {
      throw new IllegalArgumentException("value " + value + " is out of bounds");
    }
    return value;
  }
}
