package dev.caroblb.resumption.journal;

import dev.caroblb.agreement.journal.FileAccess;
import dev.caroblb.agreement.journal.WritableFile;
import dev.caroblb.core.Payload;
import dev.caroblb.resumption.PeerMessage;
import dev.caroblb.resumption.codec.ResumptionCodec;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;

/**
 * Two files of records, the current one and the one before it. A record is its length, the CRC32C
 * of the rest, the wall-clock time until which it is kept, and the encoded message.
 *
 * <p>A file that ends within a record, or has a damaged one, is read up to there: a lost record
 * costs a take-up, and never leads one to the wrong version.
 */
final class RecordFiles implements Closeable {
  private static final String CURRENT = "streams.log";
  private static final String PREVIOUS = "streams.old";
  private static final int HEADER_BYTES = 2 * Integer.BYTES;
  private static final int MAX_RECORD_BYTES = 1_024;

  private final FileAccess files;
  private final Path folder;
  private final long maxFileBytes;
  private final ResumptionCodec codec = new ResumptionCodec();
  private Optional<WritableFile> current = Optional.empty();

  /** Length of the current file up to the end of its last whole record. */
  private long validBytes;

  RecordFiles(FileAccess files, Path folder, long maxFileBytes) {
    this.files = files;
    this.folder = folder;
    this.maxFileBytes = maxFileBytes;
  }

  /**
   * Reads the records that are not older than this.
   *
   * @param wallMs wall-clock time from which on records are still kept
   * @return the records in the order in which they were written, with the time left to each
   */
  List<PeerMessage.StreamBegan> read(long wallMs) throws IOException {
    List<PeerMessage.StreamBegan> records = new ArrayList<>();
    long unused = read(folder.resolve(PREVIOUS), wallMs, records);
    validBytes = read(folder.resolve(CURRENT), wallMs, records);
    return records;
  }

  private long read(Path file, long wallMs, List<PeerMessage.StreamBegan> records)
      throws IOException {
    if (files.size(file).isEmpty()) {
      return 0;
    }
    byte[] bytes = files.read(file);
    int offset = 0;
    while (bytes.length - offset >= HEADER_BYTES) {
      ByteBuffer header = ByteBuffer.wrap(bytes, offset, HEADER_BYTES);
      int length = header.getInt();
      int crc = header.getInt();
      int start = offset + HEADER_BYTES;
      boolean whole =
          length > Long.BYTES && length <= MAX_RECORD_BYTES && length <= bytes.length - start;
      if (!whole || crc != crc(bytes, start, length)) {
        return offset;
      }
      long untilMs = ByteBuffer.wrap(bytes, start, Long.BYTES).getLong();
      if (untilMs > wallMs) {
        decode(Arrays.copyOfRange(bytes, start + Long.BYTES, start + length), untilMs - wallMs)
            .ifPresent(records::add);
      }
      offset = start + length;
    }
    return offset;
  }

  private Optional<PeerMessage.StreamBegan> decode(byte[] message, long leftMs) {
    return codec
        .decode(Payload.copyOf(message))
        .filter(PeerMessage.StreamBegan.class::isInstance)
        .map(PeerMessage.StreamBegan.class::cast)
        .map(
            began ->
                new PeerMessage.StreamBegan(
                    began.attempt(), began.origin(), Math.min(began.keepMs(), leftMs)));
  }

  byte[] encode(PeerMessage.StreamBegan began, long wallMs) {
    byte[] message = codec.encode(began).toBytes();
    int length = Long.BYTES + message.length;
    ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + length);
    record.putInt(length).putInt(0).putLong(wallMs + began.keepMs()).put(message);
    record.putInt(Integer.BYTES, crc(record.array(), HEADER_BYTES, length));
    return record.array();
  }

  private static int crc(byte[] bytes, int start, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, start, length);
    return (int) crc.getValue();
  }

  /** Appends encoded records. After a failure, what was written of them is removed first. */
  void append(byte[] records) throws IOException {
    if (validBytes > 0 && validBytes + records.length > maxFileBytes) {
      close();
      files.rename(folder.resolve(CURRENT), folder.resolve(PREVIOUS));
      files.syncFolder(folder);
      validBytes = 0;
    }
    if (current.isEmpty()) {
      WritableFile opened = files.open(folder.resolve(CURRENT));
      current = Optional.of(opened);
      opened.truncate(validBytes);
    }
    current.get().write(records);
    validBytes += records.length;
  }

  void sync() throws IOException {
    if (current.isPresent()) {
      current.get().sync();
    }
  }

  @Override
  public void close() throws IOException {
    if (current.isPresent()) {
      WritableFile open = current.get();
      current = Optional.empty();
      open.close();
    }
  }
}
