package dev.caroblb.evacuation.codec;

import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.evacuation.PeerMessage;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/**
 * Encodes each message as an array {@code [type, field, ...]}; later versions may append fields.
 */
public final class PeerMessageCodec implements MessageCodec<PeerMessage> {
  private static final int TYPE_REVISION_REPORT = 1;
  private static final int TYPE_ANNOUNCEMENT = 2;
  private static final int REVISION_REPORT_FIELDS = 1;

  @Override
  public Payload encode(PeerMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.RevisionReport report) {
      out.packArrayHeader(1 + REVISION_REPORT_FIELDS);
      out.packInt(TYPE_REVISION_REPORT);
      out.packLong(report.revision());
    } else if (message instanceof PeerMessage.Announcement announcement) {
      out.packArrayHeader(1 + StateFormat.FIELDS);
      out.packInt(TYPE_ANNOUNCEMENT);
      StateFormat.write(out, announcement.state());
    }
  }

  @Override
  public Optional<PeerMessage> decode(Payload bytes) {
    return BoundedReader.decode(bytes, in -> in.variant(new Variants()));
  }

  private static final class Variants implements BoundedReader.Variants<PeerMessage> {
    @Override
    public int fields(int type) {
      return switch (type) {
        case TYPE_REVISION_REPORT -> REVISION_REPORT_FIELDS;
        case TYPE_ANNOUNCEMENT -> StateFormat.FIELDS;
        default -> -1;
      };
    }

    @Override
    public PeerMessage read(int type, BoundedReader in) throws IOException {
      return type == TYPE_REVISION_REPORT
          ? new PeerMessage.RevisionReport(in.longValue())
          : new PeerMessage.Announcement(StateFormat.read(in));
    }
  }
}
