package dev.caroblb.routing.codec;

import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.routing.PeerMessage;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/**
 * Encodes each message as an array {@code [type, field, ...]}; later versions may append fields.
 */
public final class PeerMessageCodec implements MessageCodec<PeerMessage> {
  private static final int TYPE_ACTIVE_NUMBER = 1;
  private static final int TYPE_ACCEPTED = 2;
  private static final int ACTIVE_NUMBER_FIELDS = 1;

  @Override
  public Payload encode(PeerMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.ActiveNumber activeNumber) {
      out.packArrayHeader(1 + ACTIVE_NUMBER_FIELDS);
      out.packInt(TYPE_ACTIVE_NUMBER);
      out.packLong(activeNumber.number());
    } else if (message instanceof PeerMessage.Accepted accepted) {
      out.packArrayHeader(1 + DocumentFormat.FIELDS);
      out.packInt(TYPE_ACCEPTED);
      DocumentFormat.write(out, accepted.document());
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
        case TYPE_ACTIVE_NUMBER -> ACTIVE_NUMBER_FIELDS;
        case TYPE_ACCEPTED -> DocumentFormat.FIELDS;
        default -> -1;
      };
    }

    @Override
    public PeerMessage read(int type, BoundedReader in) throws IOException {
      return type == TYPE_ACTIVE_NUMBER
          ? new PeerMessage.ActiveNumber(in.longValue())
          : new PeerMessage.Accepted(DocumentFormat.read(in));
    }
  }
}
