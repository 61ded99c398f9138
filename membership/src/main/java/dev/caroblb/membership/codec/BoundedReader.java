package dev.caroblb.membership.codec;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads values whose sizes are checked before memory is allocated. Every structure is an array;
 * trailing fields of a later version are skipped.
 */
final class BoundedReader {
  private final MessageUnpacker in;

  BoundedReader(MessageUnpacker in) {
    this.in = in;
  }

  /** Reads the fields of one structure. */
  interface Fields<T> {
    T read() throws IOException;
  }

  /** Reads a structure with at least {@code fields} fields. */
  <T> T structure(int fields, Fields<T> reader) throws IOException {
    int present = in.unpackArrayHeader();
    if (present < fields) {
      throw new IOException("structure has " + present + " fields, expected " + fields);
    }
    T value = reader.read();
    in.skipValue(present - fields);
    return value;
  }

  <T> List<T> list(int max, Fields<T> reader) throws IOException {
    int size = in.unpackArrayHeader();
    if (size > max) {
      throw new IOException("list has " + size + " elements, at most " + max + " are allowed");
    }
    List<T> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(reader.read());
    }
    return values;
  }

  String text(int maxBytes) throws IOException {
    int length = in.unpackRawStringHeader();
    if (length > maxBytes) {
      throw new IOException("text has " + length + " bytes, at most " + maxBytes + " are allowed");
    }
    return new String(in.readPayload(length), StandardCharsets.UTF_8);
  }

  long number() throws IOException {
    return in.unpackLong();
  }

  boolean flag() throws IOException {
    return in.unpackBoolean();
  }

  /** Reads a constant whose code is its position in the list. */
  <E> E constant(List<E> values) throws IOException {
    int code = in.unpackInt();
    if (code < 0 || code >= values.size()) {
      throw new IOException("constant " + code + " is unknown");
    }
    return values.get(code);
  }
}
