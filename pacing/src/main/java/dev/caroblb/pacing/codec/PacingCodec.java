package dev.caroblb.pacing.codec;

import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.pacing.PeerMessage;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/**
 * Encodes each message as an array {@code [type, field, ...]}; later versions may append fields.
 */
public final class PacingCodec implements MessageCodec<PeerMessage> {
  private static final int TYPE_LIMIT_REPORT = 1;
  private static final int TYPE_LIMIT_ANNOUNCEMENT = 2;
  private static final int TYPE_PACE_REPORT = 3;
  private static final int TYPE_PACE_ANNOUNCEMENT = 4;
  private static final int LIMIT_REPORT_FIELDS = 2;
  private static final int LIMIT_ANNOUNCEMENT_FIELDS = 1;
  private static final int PACE_REPORT_FIELDS = 3;
  private static final int PACE_ANNOUNCEMENT_FIELDS = 2;

  @Override
  public Payload encode(PeerMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.LimitReport report) {
      out.packArrayHeader(1 + LIMIT_REPORT_FIELDS);
      out.packInt(TYPE_LIMIT_REPORT);
      LimitCodec.write(out, report.statements());
      out.packBoolean(report.wantsAll());
    } else if (message instanceof PeerMessage.LimitAnnouncement announcement) {
      out.packArrayHeader(1 + LIMIT_ANNOUNCEMENT_FIELDS);
      out.packInt(TYPE_LIMIT_ANNOUNCEMENT);
      LimitCodec.write(out, announcement.statements());
    } else if (message instanceof PeerMessage.PaceReport report) {
      out.packArrayHeader(1 + PACE_REPORT_FIELDS);
      out.packInt(TYPE_PACE_REPORT);
      PaceCodec.writeWarmUps(out, report.warmUps());
      PaceCodec.writeOutcomes(out, report.outcomes());
      LimitCodec.write(out, report.paces());
    } else if (message instanceof PeerMessage.PaceAnnouncement announcement) {
      out.packArrayHeader(1 + PACE_ANNOUNCEMENT_FIELDS);
      out.packInt(TYPE_PACE_ANNOUNCEMENT);
      PaceCodec.writeWarmUps(out, announcement.warmUps());
      LimitCodec.write(out, announcement.paces());
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
        case TYPE_LIMIT_REPORT -> LIMIT_REPORT_FIELDS;
        case TYPE_LIMIT_ANNOUNCEMENT -> LIMIT_ANNOUNCEMENT_FIELDS;
        case TYPE_PACE_REPORT -> PACE_REPORT_FIELDS;
        case TYPE_PACE_ANNOUNCEMENT -> PACE_ANNOUNCEMENT_FIELDS;
        default -> -1;
      };
    }

    @Override
    public PeerMessage read(int type, BoundedReader in) throws IOException {
      return switch (type) {
        case TYPE_LIMIT_REPORT -> new PeerMessage.LimitReport(LimitCodec.read(in), in.flag());
        case TYPE_PACE_REPORT ->
            new PeerMessage.PaceReport(
                PaceCodec.warmUps(in), PaceCodec.outcomes(in), LimitCodec.read(in));
        case TYPE_PACE_ANNOUNCEMENT ->
            new PeerMessage.PaceAnnouncement(PaceCodec.warmUps(in), LimitCodec.read(in));
        default -> new PeerMessage.LimitAnnouncement(LimitCodec.read(in));
      };
    }
  }
}
