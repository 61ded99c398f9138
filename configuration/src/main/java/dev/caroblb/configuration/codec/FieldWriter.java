package dev.caroblb.configuration.codec;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Writes fields in sequence into a memory buffer. */
final class FieldWriter {
  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();

  FieldWriter number(long value) {
    return write(() -> packer.packLong(value));
  }

  FieldWriter text(String value) {
    return write(() -> packer.packString(value));
  }

  FieldWriter flag(boolean value) {
    return write(() -> packer.packBoolean(value));
  }

  FieldWriter optionalText(Optional<String> value) {
    return value.isPresent() ? text(value.get()) : write(packer::packNil);
  }

  <T> FieldWriter list(List<T> values, Consumer<T> element) {
    write(() -> packer.packArrayHeader(values.size()));
    values.forEach(element);
    return this;
  }

  FieldWriter texts(List<String> values) {
    return list(values, this::text);
  }

  Payload payload() {
    return Payload.copyOf(packer.toByteArray());
  }

  private FieldWriter write(Step step) {
    try {
      step.run();
      return this;
    } catch (IOException e) {
      throw new UncheckedIOException("a memory buffer does not fail", e);
    }
  }

  private interface Step {
    void run() throws IOException;
  }
}
