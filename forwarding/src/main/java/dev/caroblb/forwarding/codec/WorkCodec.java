package dev.caroblb.forwarding.codec;

import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.PeerMessage;
import dev.caroblb.forwarding.TargetWork;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/** Encodes each message as an array {@code [type, field, ...]}; later versions append fields. */
public final class WorkCodec implements MessageCodec<PeerMessage> {
  private static final int TYPE_OWN = 1;
  private static final int TYPE_OTHERS = 2;
  private static final int OWN_FIELDS = 1;
  private static final int OTHERS_FIELDS = 2;
  private static final int WORK_FIELDS = 5;
  private static final int MAX_NAME_BYTES = 63;

  /** Above the number of targets that one instance uses. */
  private static final int MAX_TARGETS = 24_000;

  @Override
  public Payload encode(PeerMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.OwnWork own) {
      out.packArrayHeader(1 + OWN_FIELDS);
      out.packInt(TYPE_OWN);
      write(out, own.work());
    } else if (message instanceof PeerMessage.OthersWork others) {
      out.packArrayHeader(1 + OTHERS_FIELDS);
      out.packInt(TYPE_OTHERS);
      out.packInt(others.instances());
      write(out, others.work());
    }
  }

  private static void write(MessagePacker out, List<TargetWork> work) throws IOException {
    out.packArrayHeader(work.size());
    for (TargetWork entry : work) {
      out.packArrayHeader(WORK_FIELDS);
      out.packString(entry.target().name());
      out.packLong(entry.incarnation());
      out.packLong(entry.requests());
      out.packLong(entry.tokens());
      out.packLong(entry.unreadTokens());
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
        case TYPE_OWN -> OWN_FIELDS;
        case TYPE_OTHERS -> OTHERS_FIELDS;
        default -> -1;
      };
    }

    @Override
    public PeerMessage read(int type, BoundedReader in) throws IOException {
      return type == TYPE_OWN
          ? new PeerMessage.OwnWork(work(in))
          : new PeerMessage.OthersWork(in.smallNumber(), work(in));
    }
  }

  private static List<TargetWork> work(BoundedReader in) throws IOException {
    return in.list(MAX_TARGETS, list -> list.structure(WORK_FIELDS, WorkCodec::entry));
  }

  private static TargetWork entry(BoundedReader in) throws IOException {
    return new TargetWork(
        new TargetId(in.text(MAX_NAME_BYTES)), in.number(), in.number(), in.number(), in.number());
  }
}
