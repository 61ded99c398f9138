package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.Member;
import dev.caroblb.core.InstanceId;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Encodes and decodes fields in the payload of log records and in snapshot files. */
final class BinaryFields {
  private BinaryFields() {}

  /** Writes fields to a stream. */
  interface Writer {
    void write(DataOutputStream out) throws IOException;
  }

  static byte[] bytes(Writer writer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      writer.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  static void writeText(DataOutputStream out, String text) throws IOException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  static void writeMember(DataOutputStream out, Member member) throws IOException {
    writeText(out, member.instance().name());
    writeText(out, member.incarnation());
  }

  static void writeVote(DataOutputStream out, Optional<Member> votedFor) throws IOException {
    out.writeBoolean(votedFor.isPresent());
    if (votedFor.isPresent()) {
      writeMember(out, votedFor.get());
    }
  }

  /**
   * Reads a length-prefixed byte array.
   *
   * @throws BufferUnderflowException if the buffer contains fewer bytes than the length says
   */
  static byte[] readBytes(ByteBuffer in) {
    int length = in.getInt();
    if (length < 0 || length > in.remaining()) {
      throw new BufferUnderflowException();
    }
    byte[] bytes = new byte[length];
    in.get(bytes);
    return bytes;
  }

  static String readText(ByteBuffer in) {
    return new String(readBytes(in), StandardCharsets.UTF_8);
  }

  static Member readMember(ByteBuffer in) {
    return new Member(new InstanceId(readText(in)), readText(in));
  }

  static Optional<Member> readVote(ByteBuffer in) {
    return in.get() == 0 ? Optional.empty() : Optional.of(readMember(in));
  }
}
