package dev.caroblb.forwarding.codec;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.PeerMessage;
import dev.caroblb.forwarding.PlacementNeed;
import dev.caroblb.forwarding.TargetWork;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessagePacker;

/** Encodes each message as an array {@code [type, field, ...]}; later versions append fields. */
public final class WorkCodec implements MessageCodec<PeerMessage> {
  private static final int TYPE_OWN = 1;
  private static final int TYPE_OTHERS = 2;
  private static final int TYPE_ASKED = 3;
  private static final int TYPE_GIVEN = 4;
  private static final int TYPE_QUEUED = 5;
  private static final int TYPE_DROPPED = 6;
  private static final int OWN_FIELDS = 2;
  private static final int OTHERS_FIELDS = 2;
  private static final int ASKED_FIELDS = 10;
  private static final int GIVEN_FIELDS = 4;
  private static final int TICKET_FIELDS = 1;
  private static final int WORK_FIELDS = 5;
  private static final int MAX_NAME_BYTES = 63;

  /** Above the number of targets that one instance uses. */
  private static final int MAX_TARGETS = 24_000;

  private static final List<PlacementNeed.Purpose> PURPOSES =
      List.of(PlacementNeed.Purpose.START, PlacementNeed.Purpose.MOVE);

  /** Above the number of sendings of one request. */
  private static final int MAX_EXCLUDED = 64;

  @Override
  public Payload encode(PeerMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.OwnWork own) {
      out.packArrayHeader(1 + OWN_FIELDS);
      out.packInt(TYPE_OWN);
      out.packLong(own.upToGrant());
      write(out, own.work());
    } else if (message instanceof PeerMessage.OthersWork others) {
      out.packArrayHeader(1 + OTHERS_FIELDS);
      out.packInt(TYPE_OTHERS);
      out.packInt(others.instances());
      write(out, others.work());
    } else if (message instanceof PeerMessage.PlacementAsked asked) {
      out.packArrayHeader(1 + ASKED_FIELDS);
      out.packInt(TYPE_ASKED);
      out.packLong(asked.ticket());
      write(out, asked.need());
    } else if (message instanceof PeerMessage.PlacementGiven given) {
      out.packArrayHeader(1 + GIVEN_FIELDS);
      out.packInt(TYPE_GIVEN);
      out.packLong(given.ticket());
      out.packLong(given.grant());
      write(out, given.target());
      write(out, given.backup());
    } else if (message instanceof PeerMessage.PlacementQueued queued) {
      writeTicket(out, TYPE_QUEUED, queued.ticket());
    } else if (message instanceof PeerMessage.PlacementDropped dropped) {
      writeTicket(out, TYPE_DROPPED, dropped.ticket());
    }
  }

  private static void writeTicket(MessagePacker out, int type, long ticket) throws IOException {
    out.packArrayHeader(1 + TICKET_FIELDS);
    out.packInt(type);
    out.packLong(ticket);
  }

  private static void write(MessagePacker out, PlacementNeed need) throws IOException {
    out.packInt(PURPOSES.indexOf(need.purpose()));
    out.packString(need.service());
    out.packLong(need.tokens());
    out.packLong(need.promptTokens());
    out.packArrayHeader(need.excluded().size());
    for (TargetId target : need.excluded()) {
      out.packString(target.name());
    }
    out.packString(need.near().name());
    out.packBoolean(need.backup());
    out.packInt(need.rank());
    out.packLong(need.objectiveMs());
  }

  private static void write(MessagePacker out, Optional<TargetId> target) throws IOException {
    out.packArrayHeader(target.isPresent() ? 1 : 0);
    if (target.isPresent()) {
      out.packString(target.get().name());
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
        case TYPE_ASKED -> ASKED_FIELDS;
        case TYPE_GIVEN -> GIVEN_FIELDS;
        case TYPE_QUEUED, TYPE_DROPPED -> TICKET_FIELDS;
        default -> -1;
      };
    }

    @Override
    public PeerMessage read(int type, BoundedReader in) throws IOException {
      return switch (type) {
        case TYPE_OWN -> new PeerMessage.OwnWork(in.number(), work(in));
        case TYPE_OTHERS -> new PeerMessage.OthersWork(in.smallNumber(), work(in));
        case TYPE_ASKED -> new PeerMessage.PlacementAsked(in.number(), need(in));
        case TYPE_QUEUED -> new PeerMessage.PlacementQueued(in.number());
        case TYPE_DROPPED -> new PeerMessage.PlacementDropped(in.number());
        default ->
            new PeerMessage.PlacementGiven(
                in.number(),
                in.number(),
                in.optional(WorkCodec::target),
                in.optional(WorkCodec::target));
      };
    }
  }

  private static PlacementNeed need(BoundedReader in) throws IOException {
    return new PlacementNeed(
        in.constant(PURPOSES),
        in.text(MAX_NAME_BYTES),
        in.number(),
        in.number(),
        Set.copyOf(in.list(MAX_EXCLUDED, WorkCodec::target)),
        new FailureDomain(in.text(MAX_NAME_BYTES)),
        in.flag(),
        in.smallNumber(),
        in.number());
  }

  private static TargetId target(BoundedReader in) throws IOException {
    return new TargetId(in.text(MAX_NAME_BYTES));
  }

  private static List<TargetWork> work(BoundedReader in) throws IOException {
    return in.list(MAX_TARGETS, list -> list.structure(WORK_FIELDS, WorkCodec::entry));
  }

  private static TargetWork entry(BoundedReader in) throws IOException {
    return new TargetWork(target(in), in.number(), in.number(), in.number(), in.number());
  }
}
