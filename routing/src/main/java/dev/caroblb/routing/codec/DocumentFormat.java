package dev.caroblb.routing.codec;

import dev.caroblb.core.Payload;
import dev.caroblb.routing.RoutingDocument;
import dev.caroblb.transport.codec.BoundedReader;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import org.msgpack.core.MessagePacker;

/**
 * Format of documents: {@code number, compressed body}. Compression lets a body of 4 MiB fit into a
 * frame.
 */
final class DocumentFormat {
  static final int FIELDS = 2;

  /** Maximum size of a decompressed body; a larger one is treated as corrupt. */
  static final int MAX_BODY_BYTES = 8 << 20;

  private static final int MAX_COMPRESSED_BYTES = 4 << 20;

  private DocumentFormat() {}

  static void write(MessagePacker out, RoutingDocument document) throws IOException {
    byte[] compressed = compress(document.body().toBytes());
    out.packLong(document.number());
    out.packBinaryHeader(compressed.length);
    out.writePayload(compressed);
  }

  static RoutingDocument read(BoundedReader in) throws IOException {
    long number = in.longValue();
    return new RoutingDocument(number, decompress(in.bytes(MAX_COMPRESSED_BYTES)));
  }

  private static byte[] compress(byte[] body) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(body.length / 4 + 64);
    try (GZIPOutputStream out = new GZIPOutputStream(bytes)) {
      out.write(body);
    }
    return bytes.toByteArray();
  }

  private static Payload decompress(Payload compressed) throws IOException {
    try (GZIPInputStream in = new GZIPInputStream(new ByteArrayInputStream(compressed.toBytes()))) {
      byte[] body = in.readNBytes(MAX_BODY_BYTES + 1);
      if (body.length > MAX_BODY_BYTES) {
        throw new IOException("a decompressed document exceeds " + MAX_BODY_BYTES + " bytes");
      }
      return Payload.copyOf(body);
    }
  }
}
