package dev.caroblb.agreement.journal;

import dev.caroblb.core.Payload;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Encoding of a record: magic, payload length, type, end-of-append flag, two zero bytes, term,
 * index, CRC32C of the payload, CRC32C of the header. The header checksum also covers the segment
 * number and the offset, so that a record is valid only at its own position. Otherwise the search
 * for valid records after a damaged one could mistake a copy inside a payload for a real record.
 */
final class RecordCodec {
  static final int HEADER_BYTES = 36;
  private static final int MAGIC = 0xCA50B10C;
  private static final int PAYLOAD_CRC_OFFSET = 28;
  private static final int HEADER_CRC_OFFSET = 32;

  private RecordCodec() {}

  static int size(LogRecord record) {
    return HEADER_BYTES + record.payload().size();
  }

  /**
   * Writes a record at {@code position} and returns the position after it.
   *
   * @param base offset of the first byte of {@code target} in the segment
   */
  static int encode(LogRecord record, long segment, long base, byte[] target, int position) {
    byte[] payload = record.payload().toBytes();
    ByteBuffer header = ByteBuffer.wrap(target, position, HEADER_BYTES);
    header.putInt(MAGIC);
    header.putInt(payload.length);
    header.put((byte) record.type().code());
    header.put((byte) (record.endsAppend() ? 1 : 0));
    header.putShort((short) 0);
    header.putLong(record.term());
    header.putLong(record.index());
    header.putInt(crc(payload, 0, payload.length));
    header.putInt(headerCrc(target, position, segment, base + position));
    System.arraycopy(payload, 0, target, position + HEADER_BYTES, payload.length);
    return position + HEADER_BYTES + payload.length;
  }

  /** Encodes a single record for the given offset of a segment. */
  static byte[] encode(LogRecord record, long segment, long offset) {
    byte[] bytes = new byte[size(record)];
    encode(record, segment, offset, bytes, 0);
    return bytes;
  }

  /** Decodes the record at {@code offset}; empty if no valid record starts there. */
  static Optional<LogRecord> decode(byte[] file, int offset, long segment) {
    if (file.length - offset < HEADER_BYTES) {
      return Optional.empty();
    }
    ByteBuffer header = ByteBuffer.wrap(file, offset, HEADER_BYTES);
    int magic = header.getInt();
    int length = header.getInt();
    if (magic != MAGIC || length < 0 || length > file.length - offset - HEADER_BYTES) {
      return Optional.empty();
    }
    Optional<LogRecord.Type> type = LogRecord.Type.ofCode(header.get());
    int endsAppend = header.get();
    int reserved = header.getShort();
    long term = header.getLong();
    long index = header.getLong();
    if (header.getInt(offset + HEADER_CRC_OFFSET) != headerCrc(file, offset, segment, offset)) {
      return Optional.empty();
    }
    int payloadOffset = offset + HEADER_BYTES;
    if (header.getInt(offset + PAYLOAD_CRC_OFFSET) != crc(file, payloadOffset, length)) {
      return Optional.empty();
    }
    if (type.isEmpty() || (endsAppend & ~1) != 0 || reserved != 0 || term < 0 || index < 0) {
      return Optional.empty();
    }
    Payload payload =
        Payload.copyOf(Arrays.copyOfRange(file, payloadOffset, payloadOffset + length));
    return Optional.of(new LogRecord(type.get(), endsAppend == 1, term, index, payload));
  }

  private static int headerCrc(byte[] bytes, int start, long segment, long offset) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(2 * Long.BYTES).putLong(segment).putLong(offset).flip());
    crc.update(bytes, start, HEADER_CRC_OFFSET);
    return (int) crc.getValue();
  }

  static int crc(byte[] bytes, int start, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, start, length);
    return (int) crc.getValue();
  }
}
