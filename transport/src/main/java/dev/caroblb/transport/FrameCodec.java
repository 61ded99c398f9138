package dev.caroblb.transport;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes frames. Encoded frames include the length prefix; decoding expects frames
 * without it.
 */
final class FrameCodec {
  static final int VERSION = 1;
  static final int LENGTH_BYTES = 4;

  /** Maximum size of a frame, without the length prefix. */
  static final int MAX_FRAME_BYTES = 4 << 20;

  private static final int HELLO_FIELDS = 5;
  private static final int FRAME_FIELDS = 3;
  private static final int MAX_TEXT_BYTES = 1_024;

  private FrameCodec() {}

  static ByteBuffer encode(Hello hello) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(HELLO_FIELDS).packInt(VERSION);
      packer.packString(hello.cluster()).packString(hello.instance());
      packer.packString(hello.incarnation()).packString(hello.token());
      return withLength(packer.toByteArray());
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory cannot fail", e);
    }
  }

  static ByteBuffer encode(Frame frame) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(FRAME_FIELDS).packInt(VERSION).packInt(frame.channel().number());
      packer.packBinaryHeader(frame.body().size()).writePayload(frame.body().toBytes());
      return withLength(packer.toByteArray());
    } catch (IOException e) {
      throw new IllegalStateException("packing into memory cannot fail", e);
    }
  }

  private static ByteBuffer withLength(byte[] bytes) {
    ByteBuffer buffer = ByteBuffer.allocate(LENGTH_BYTES + bytes.length);
    return buffer.putInt(bytes.length).put(bytes).flip();
  }

  static Optional<Hello> decodeHello(ByteBuffer bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackArrayHeader() != HELLO_FIELDS || unpacker.unpackInt() != VERSION) {
        return Optional.empty();
      }
      return Optional.of(new Hello(text(unpacker), text(unpacker), text(unpacker), text(unpacker)));
    } catch (IOException | MessagePackException e) {
      return Optional.empty();
    }
  }

  private static String text(MessageUnpacker unpacker) throws IOException {
    int length = unpacker.unpackRawStringHeader();
    if (length > MAX_TEXT_BYTES) {
      throw new IOException("hello frame has a text of " + length + " bytes");
    }
    return Payload.copyOf(unpacker.readPayload(length)).text();
  }

  static Optional<Frame> decode(ByteBuffer bytes) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (unpacker.unpackArrayHeader() != FRAME_FIELDS || unpacker.unpackInt() != VERSION) {
        return Optional.empty();
      }
      Optional<Channel> channel = Channel.of(unpacker.unpackInt());
      int length = unpacker.unpackBinaryHeader();
      if (channel.isEmpty() || length > bytes.remaining()) {
        return Optional.empty();
      }
      return Optional.of(new Frame(channel.get(), Payload.copyOf(unpacker.readPayload(length))));
    } catch (IOException | MessagePackException e) {
      return Optional.empty();
    }
  }
}
