package dev.caroblb.transport.codec;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;

/** Encodes MessagePack values for {@link BoundedReader}. */
public final class Packing {
  private Packing() {}

  /** Writes the fields of one message. */
  public interface Writer {
    void write(MessagePacker out) throws IOException;
  }

  /** Encodes one message. */
  public static Payload pack(Writer writer) {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      writer.write(out);
      return Payload.copyOf(out.toByteArray());
    } catch (IOException e) {
      throw new UncheckedIOException("packing into memory failed", e);
    }
  }
}
