package dev.caroblb.core;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

/** Immutable bytes with value equality. */
public final class Payload {
  private static final Payload EMPTY = new Payload(new byte[0]);

  private final byte[] bytes;

  private Payload(byte[] bytes) {
    this.bytes = bytes;
  }

  /** Copies the given bytes. */
  public static Payload copyOf(byte[] bytes) {
    return bytes.length == 0 ? EMPTY : new Payload(bytes.clone());
  }

  /** Copies the remaining bytes of several buffers, in their order. */
  public static Payload concat(List<ByteBuffer> parts) {
    byte[] bytes = new byte[parts.stream().mapToInt(ByteBuffer::remaining).sum()];
    ByteBuffer target = ByteBuffer.wrap(bytes);
    parts.forEach(part -> target.put(part.duplicate()));
    return bytes.length == 0 ? EMPTY : new Payload(bytes);
  }

  /** The UTF-8 bytes of a text. */
  public static Payload ofText(String text) {
    return copyOf(text.getBytes(StandardCharsets.UTF_8));
  }

  public static Payload empty() {
    return EMPTY;
  }

  public int size() {
    return bytes.length;
  }

  /** A copy of the bytes. */
  public byte[] toBytes() {
    return bytes.clone();
  }

  /** A read-only view of the bytes. */
  public ByteBuffer buffer() {
    return ByteBuffer.wrap(bytes).asReadOnlyBuffer();
  }

  /** The bytes decoded as UTF-8. */
  public String text() {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Payload && Arrays.equals(bytes, ((Payload) other).bytes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(bytes);
  }

  @Override
  public String toString() {
    return "Payload[" + bytes.length + " bytes]";
  }
}
