package dev.caroblb.transport.codec;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads MessagePack values and checks sizes before allocating memory. Every structure is an array;
 * unknown trailing fields, added by later versions, are skipped.
 */
public final class BoundedReader {
  private final MessageUnpacker in;

  private BoundedReader(MessageUnpacker in) {
    this.in = in;
  }

  /** Reads the fields of one structure. */
  public interface Fields<T> {
    T read(BoundedReader in) throws IOException;
  }

  /** Decodes a whole message; empty if the bytes are malformed. */
  public static <T> Optional<T> decode(Payload bytes, Fields<T> reader) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes.toBytes())) {
      T value = reader.read(new BoundedReader(unpacker));
      return unpacker.hasNext() ? Optional.empty() : Optional.of(value);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  /** Reads a structure with at least {@code fields} fields. */
  public <T> T structure(int fields, Fields<T> reader) throws IOException {
    int present = in.unpackArrayHeader();
    if (present < fields) {
      throw new IOException("structure has " + present + " fields, expected " + fields);
    }
    T value = reader.read(this);
    in.skipValue(present - fields);
    return value;
  }

  /**
   * Reads a structure {@code [type, field, ...]}; the type determines the number of known fields.
   */
  public <T> T variant(Variants<T> variants) throws IOException {
    int present = in.unpackArrayHeader();
    int type = in.unpackInt();
    int fields = variants.fields(type);
    if (fields < 0 || present < 1 + fields) {
      throw new IOException("type " + type + " with " + present + " fields is unknown");
    }
    T value = variants.read(type, this);
    in.skipValue(present - 1 - fields);
    return value;
  }

  /** Decodes the types of a sealed interface. */
  public interface Variants<T> {
    /** Number of known fields after the type; negative if the type is unknown. */
    int fields(int type);

    T read(int type, BoundedReader in) throws IOException;
  }

  /** Reads a list of at most {@code max} elements. */
  public <T> List<T> list(int max, Fields<T> reader) throws IOException {
    int size = in.unpackArrayHeader();
    if (size > max) {
      throw new IOException("list has " + size + " elements, at most " + max + " are allowed");
    }
    List<T> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(reader.read(this));
    }
    return values;
  }

  /** Reads an optional value, encoded as a list of zero or one element. */
  public <T> Optional<T> optional(Fields<T> reader) throws IOException {
    return list(1, reader).stream().findFirst();
  }

  /** Reads a UTF-8 string of at most {@code maxBytes} bytes. */
  public String text(int maxBytes) throws IOException {
    int length = in.unpackRawStringHeader();
    if (length > maxBytes) {
      throw new IOException("text has " + length + " bytes, at most " + maxBytes + " are allowed");
    }
    return new String(in.readPayload(length), StandardCharsets.UTF_8);
  }

  /** Reads at most {@code maxBytes} bytes. */
  public Payload bytes(int maxBytes) throws IOException {
    int length = in.unpackBinaryHeader();
    if (length > maxBytes) {
      throw new IOException("value has " + length + " bytes, at most " + maxBytes + " are allowed");
    }
    return Payload.copyOf(in.readPayload(length));
  }

  public long longValue() throws IOException {
    return in.unpackLong();
  }

  public double doubleValue() throws IOException {
    return in.unpackDouble();
  }

  /** Reads an {@code int}. */
  public int intValue() throws IOException {
    return in.unpackInt();
  }

  public boolean flag() throws IOException {
    return in.unpackBoolean();
  }

  /** Reads a constant, encoded as its position in the list. */
  public <E> E constant(List<E> values) throws IOException {
    int code = in.unpackInt();
    if (code < 0 || code >= values.size()) {
      throw new IOException("constant " + code + " is unknown");
    }
    return values.get(code);
  }
}
