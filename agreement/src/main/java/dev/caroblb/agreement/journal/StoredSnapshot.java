package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.Member;
import dev.caroblb.agreement.Snapshot;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Contents of a snapshot file. The first segment that still counts is named here, so that the
 * rename of the snapshot file is the one step that both stores the snapshot and discards the
 * earlier log.
 */
record StoredSnapshot(GroupId group, String incarnation, long firstSegment, Snapshot snapshot) {
  private static final long MAGIC_AND_VERSION = 0x6361726F_534E0001L;

  byte[] encode() {
    byte[] body =
        Fields.bytes(
            out -> {
              out.writeLong(MAGIC_AND_VERSION);
              Fields.writeText(out, group.name());
              Fields.writeText(out, incarnation);
              out.writeLong(firstSegment);
              out.writeLong(snapshot.lastIndex());
              out.writeLong(snapshot.lastTerm());
              out.writeInt(snapshot.members().size());
              for (Member member : snapshot.members()) {
                Fields.writeMember(out, member);
              }
              out.writeInt(snapshot.state().size());
              out.write(snapshot.state().toBytes());
            });
    return ByteBuffer.allocate(body.length + Integer.BYTES)
        .put(body)
        .putInt(RecordCodec.crc(body, 0, body.length))
        .array();
  }

  /** Decodes a snapshot file; empty when any byte of it is damaged. */
  static Optional<StoredSnapshot> decode(byte[] file) {
    int bodyLength = file.length - Integer.BYTES;
    if (bodyLength < Long.BYTES
        || ByteBuffer.wrap(file).getInt(bodyLength) != RecordCodec.crc(file, 0, bodyLength)) {
      return Optional.empty();
    }
    try {
      return decodeBody(ByteBuffer.wrap(Arrays.copyOf(file, bodyLength)));
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<StoredSnapshot> decodeBody(ByteBuffer in) {
    if (in.getLong() != MAGIC_AND_VERSION) {
      return Optional.empty();
    }
    GroupId group = new GroupId(Fields.readText(in));
    String incarnation = Fields.readText(in);
    long firstSegment = in.getLong();
    long lastIndex = in.getLong();
    long lastTerm = in.getLong();
    int count = in.getInt();
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(Fields.readMember(in));
    }
    Payload state = Payload.copyOf(Fields.readBytes(in));
    if (in.hasRemaining() || firstSegment < 1 || lastIndex < 0 || lastTerm < 0) {
      return Optional.empty();
    }
    return Optional.of(
        new StoredSnapshot(
            group, incarnation, firstSegment, new Snapshot(lastIndex, lastTerm, members, state)));
  }
}
