package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.Member;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * First record of a segment. It repeats the vote, so that earlier segments can be deleted, and
 * names the folder and the group, so that a file copied from elsewhere is noticed.
 */
record SegmentHeader(
    GroupId group, String incarnation, long firstIndex, long term, Optional<Member> votedFor) {
  LogRecord toRecord() {
    byte[] payload =
        Fields.bytes(
            out -> {
              Fields.writeText(out, group.name());
              Fields.writeText(out, incarnation);
              Fields.writeVote(out, votedFor);
            });
    return new LogRecord(LogRecord.Type.SEGMENT, true, term, firstIndex, Payload.copyOf(payload));
  }

  /** Decodes the header; empty when the record is none. */
  static Optional<SegmentHeader> of(LogRecord record) {
    if (record.type() != LogRecord.Type.SEGMENT) {
      return Optional.empty();
    }
    try {
      ByteBuffer in = record.payload().buffer();
      return Optional.of(
          new SegmentHeader(
              new GroupId(Fields.readText(in)),
              Fields.readText(in),
              record.index(),
              record.term(),
              Fields.readVote(in)));
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
