package dev.caroblb.forwarding.codec;

import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.forwarding.PeerMessage;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/**
 * Encodes each message as an array {@code [type, field, ...]}; later versions may append fields.
 */
public final class PeerMessageCodec implements MessageCodec<PeerMessage> {
  private static final int TYPE_EVIDENCE_REPORT = 1;
  private static final int TYPE_EVIDENCE_ANNOUNCEMENT = 2;

  @Override
  public Payload encode(PeerMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, PeerMessage message) throws IOException {
    out.packArrayHeader(1 + EvidenceCodec.FIELDS);
    if (message instanceof PeerMessage.EvidenceReport report) {
      out.packInt(TYPE_EVIDENCE_REPORT);
      EvidenceCodec.write(out, report.evidence());
    } else if (message instanceof PeerMessage.EvidenceAnnouncement announcement) {
      out.packInt(TYPE_EVIDENCE_ANNOUNCEMENT);
      EvidenceCodec.write(out, announcement.evidence());
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
        case TYPE_EVIDENCE_REPORT, TYPE_EVIDENCE_ANNOUNCEMENT -> EvidenceCodec.FIELDS;
        default -> -1;
      };
    }

    @Override
    public PeerMessage read(int type, BoundedReader in) throws IOException {
      return type == TYPE_EVIDENCE_REPORT
          ? new PeerMessage.EvidenceReport(EvidenceCodec.read(in))
          : new PeerMessage.EvidenceAnnouncement(EvidenceCodec.read(in));
    }
  }
}
