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

/** Reads fields that several messages have in common and checks their bounds. */
final class FieldReader {
  private static final int INCARNATION_BYTES = 16;
  private static final int MAX_NAME_BYTES = 63;
  private static final int MAX_MEMBERS = 64;

  /** Above the limit of 1,024 entries that a sender puts into one message. */
  private static final int MAX_ENTRIES = 4_096;

  private final MessageUnpacker unpacker;
  private final int limit;

  /** Creates a reader for a message of the given size, which no field can exceed. */
  FieldReader(MessageUnpacker unpacker, int limit) {
    this.unpacker = unpacker;
    this.limit = limit;
  }

  /** Reads a number that must not be negative. */
  long nonNegativeLong() throws IOException {
    long value = unpacker.unpackLong();
    return checkBounds(value >= 0, value);
  }

  long signedLong() throws IOException {
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
    checkBounds(size == INCARNATION_BYTES, size);
    return HexFormat.of().formatHex(unpacker.readPayload(size));
  }

  Payload bytes() throws IOException {
    int size = unpacker.unpackBinaryHeader();
    checkBounds(size <= limit, size);
    return Payload.copyOf(unpacker.readPayload(size));
  }

  List<Member> members() throws IOException {
    int size = arrayHeader(MAX_MEMBERS);
    List<Member> members = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      members.add(new Member(new InstanceId(name()), incarnation()));
    }
    return members;
  }

  /** Reads entries whose indexes follow the given one. */
  List<LogEntry> entries(long previousIndex) throws IOException {
    int size = arrayHeader(MAX_ENTRIES);
    List<LogEntry> entries = new ArrayList<>();
    for (int i = 1; i <= size; i++) {
      long term = nonNegativeLong();
      entries.add(
          new LogEntry(
              previousIndex + i, term, EntryKindCodes.fromCode(unpacker.unpackInt()), bytes()));
    }
    return entries;
  }

  private String name() throws IOException {
    int size = unpacker.unpackRawStringHeader();
    checkBounds(size <= MAX_NAME_BYTES, size);
    return new String(unpacker.readPayload(size), StandardCharsets.UTF_8);
  }

  private int arrayHeader(int max) throws IOException {
    int size = unpacker.unpackArrayHeader();
    checkBounds(size <= max, size);
    return size;
  }

  private static long checkBounds(boolean valid, long value) {
    if (!valid) {
      throw new IllegalArgumentException("value " + value + " is out of bounds");
    }
    return value;
  }
}
