package dev.caroblb.idempotency;

import dev.caroblb.core.Payload;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * Serializes an outcome into one array: status, completeness flag, length and bytes of the content
 * type, body.
 */
final class PackedOutcome {
  private static final int HEADER_BYTES = Short.BYTES + 2;

  private PackedOutcome() {}

  static byte[] pack(StoredOutcome outcome) {
    byte[] contentType = outcome.contentType().getBytes(StandardCharsets.ISO_8859_1);
    ByteBuffer packed =
        ByteBuffer.allocate(HEADER_BYTES + contentType.length + outcome.body().size());
    packed.putShort((short) outcome.status());
    packed.put((byte) (outcome.complete() ? 1 : 0));
    packed.put((byte) contentType.length);
    packed.put(contentType);
    packed.put(outcome.body().buffer());
    return packed.array();
  }

  static StoredOutcome unpack(byte[] packed) {
    ByteBuffer in = ByteBuffer.wrap(packed);
    int status = in.getShort();
    boolean complete = in.get() == 1;
    byte[] contentType = new byte[in.get()];
    in.get(contentType);
    byte[] body = new byte[in.remaining()];
    in.get(body);
    return new StoredOutcome(
        status,
        new String(contentType, StandardCharsets.ISO_8859_1),
        Payload.copyOf(body),
        complete);
  }
}
