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
 * Contents of a snapshot file. It names the first segment that is still needed, so that renaming
 * the snapshot file stores the snapshot and discards the earlier log in one atomic step.
 */
record StoredSnapshot(GroupId group, String incarnation, long firstSegment, Snapshot snapshot) {
  private static final long MAGIC_AND_VERSION = 0x6361726F_534E0001L;

  byte[] encode() {
    byte[] body =
        BinaryFields.bytes(
            out -> {
              out.writeLong(MAGIC_AND_VERSION);
              BinaryFields.writeText(out, group.name());
              BinaryFields.writeText(out, incarnation);
              out.writeLong(firstSegment);
              out.writeLong(snapshot.lastIndex());
              out.writeLong(snapshot.lastTerm());
              out.writeInt(snapshot.members().size());
              for (Member member : snapshot.members()) {
                BinaryFields.writeMember(out, member);
              }
              out.writeInt(snapshot.state().size());
              out.write(snapshot.state().toBytes());
            });
    return ByteBuffer.allocate(body.length + Integer.BYTES)
        .put(body)
        .putInt(RecordCodec.crc(body, 0, body.length))
        .array();
  }

  /** Decodes a snapshot file; empty if it is damaged. */
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
    GroupId group = new GroupId(BinaryFields.readText(in));
    String incarnation = BinaryFields.readText(in);
    long firstSegment = in.getLong();
    long lastIndex = in.getLong();
    long lastTerm = in.getLong();
    int count = in.getInt();
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(BinaryFields.readMember(in));
    }
    Payload state = Payload.copyOf(BinaryFields.readBytes(in));
    if (in.hasRemaining() || firstSegment < 1 || lastIndex < 0 || lastTerm < 0) {
      return Optional.empty();
    }
    return Optional.of(
        new StoredSnapshot(
            group, incarnation, firstSegment, new Snapshot(lastIndex, lastTerm, members, state)));
  }
}
