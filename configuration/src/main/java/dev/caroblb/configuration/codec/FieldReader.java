package dev.caroblb.configuration.codec;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Reads fields in sequence; malformed bytes cause a {@link MalformedException}. */
final class FieldReader {
  private final MessageUnpacker unpacker;

  FieldReader(Payload bytes) {
    this.unpacker = MessagePack.newDefaultUnpacker(bytes.toBytes());
  }

  /** Applies a decoder to the bytes; empty if they are malformed or have trailing bytes. */
  static <T> Optional<T> decode(Payload bytes, Function<FieldReader, T> decoder) {
    try {
      FieldReader reader = new FieldReader(bytes);
      T value = decoder.apply(reader);
      return reader.atEnd() ? Optional.of(value) : Optional.empty();
    } catch (MalformedException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  long longValue() {
    return read(unpacker::unpackLong);
  }

  int intValue() {
    return read(unpacker::unpackInt);
  }

  String text() {
    return read(unpacker::unpackString);
  }

  boolean flag() {
    return read(unpacker::unpackBoolean);
  }

  Optional<String> optionalText() {
    return read(unpacker::tryUnpackNil) ? Optional.empty() : Optional.of(text());
  }

  /** Reads a list. Memory grows with the elements actually read, not with the declared size. */
  <T> List<T> list(Function<FieldReader, T> element) {
    int size = read(unpacker::unpackArrayHeader);
    List<T> values = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      values.add(element.apply(this));
    }
    return values;
  }

  List<String> texts() {
    return list(FieldReader::text);
  }

  private boolean atEnd() {
    return !read(unpacker::hasNext);
  }

  private static <T> T read(Step<T> step) {
    try {
      return step.run();
    } catch (IOException | MessagePackException e) {
      throw new MalformedException(e);
    }
  }

  private interface Step<T> {
    T run() throws IOException;
  }

  /** The bytes do not have the expected form. */
  static final class MalformedException extends RuntimeException {
    MalformedException(Exception cause) {
      super(cause);
    }

    MalformedException(String message) {
      super(message);
    }
  }
}
