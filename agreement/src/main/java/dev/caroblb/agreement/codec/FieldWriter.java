package dev.caroblb.agreement.codec;

import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.Member;
import dev.caroblb.core.Payload;
import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import org.msgpack.core.MessagePacker;

/** Writes fields that several messages have in common. */
final class FieldWriter {
  private final MessagePacker packer;

  FieldWriter(MessagePacker packer) {
    this.packer = packer;
  }

  /** Writes an incarnation as 16 bytes. */
  void incarnation(String incarnation) throws IOException {
    byte[] bytes = HexFormat.of().parseHex(incarnation);
    packer.packBinaryHeader(bytes.length);
    packer.writePayload(bytes);
  }

  void bytes(Payload payload) throws IOException {
    byte[] bytes = payload.toBytes();
    packer.packBinaryHeader(bytes.length);
    packer.addPayload(bytes);
  }

  void members(List<Member> members) throws IOException {
    packer.packArrayHeader(members.size());
    for (Member member : members) {
      packer.packString(member.instance().name());
      incarnation(member.incarnation());
    }
  }

  /**
   * Writes consecutive entries without their indexes, which the receiver derives from the index
   * before them.
   */
  void entries(List<LogEntry> entries) throws IOException {
    packer.packArrayHeader(entries.size());
    for (LogEntry entry : entries) {
      packer.packLong(entry.term());
      packer.packInt(EntryKindCodes.toCode(entry.kind()));
      bytes(entry.payload());
    }
  }
}
