package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.Member;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * First record of a segment. It repeats the current term and vote, so that earlier segments can be
 * deleted. It names the incarnation and the group, so that a segment copied from another folder is
 * detected.
 */
record SegmentHeader(
    GroupId group, String incarnation, long firstIndex, long term, Optional<Member> votedFor) {
  LogRecord toRecord() {
    byte[] payload =
        BinaryFields.bytes(
            out -> {
              BinaryFields.writeText(out, group.name());
              BinaryFields.writeText(out, incarnation);
              BinaryFields.writeVote(out, votedFor);
            });
    return new LogRecord(LogRecord.Type.SEGMENT, true, term, firstIndex, Payload.copyOf(payload));
  }

  /** Decodes a segment header; empty if the record is not a valid one. */
  static Optional<SegmentHeader> of(LogRecord record) {
    if (record.type() != LogRecord.Type.SEGMENT) {
      return Optional.empty();
    }
    try {
      ByteBuffer in = record.payload().buffer();
      return Optional.of(
          new SegmentHeader(
              new GroupId(BinaryFields.readText(in)),
              BinaryFields.readText(in),
              record.index(),
              record.term(),
              BinaryFields.readVote(in)));
    } catch (BufferUnderflowException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
