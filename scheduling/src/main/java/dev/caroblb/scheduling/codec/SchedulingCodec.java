package dev.caroblb.scheduling.codec;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.scheduling.PeerMessage;
import dev.caroblb.targets.PlacementNeed;
import dev.caroblb.targets.TargetLoad;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.msgpack.core.MessagePacker;

/**
 * Encodes each message as an array {@code [type, field, ...]}; later versions may append fields.
 */
public final class SchedulingCodec implements MessageCodec<PeerMessage> {
  private static final int TYPE_LOAD_REPORT = 1;
  private static final int TYPE_REMOTE_LOAD_REPORT = 2;
  private static final int TYPE_PLACEMENT_REQUEST = 3;
  private static final int TYPE_PLACEMENT_REPLY = 4;
  private static final int TYPE_PLACEMENT_QUEUED = 5;
  private static final int TYPE_PLACEMENT_CANCELLED = 6;
  private static final int TYPE_PERMIT_REPLY = 7;
  private static final int TYPE_PLACEMENT_REJECTED = 8;
  private static final int LOAD_REPORT_FIELDS = 3;
  private static final int REMOTE_LOAD_REPORT_FIELDS = 3;
  private static final int PLACEMENT_REQUEST_FIELDS = 17;
  private static final int PLACEMENT_REPLY_FIELDS = 4;
  private static final int PERMIT_REPLY_FIELDS = 3;
  private static final int PLACEMENT_REJECTED_FIELDS = 2;
  private static final int TICKET_FIELDS = 1;
  private static final int LOAD_FIELDS = 5;
  private static final int MAX_NAME_BYTES = 63;

  /** Exceeds the number of targets that one instance uses. */
  private static final int MAX_TARGETS = 24_000;

  private static final List<PlacementNeed.Purpose> PURPOSES =
      List.of(
          PlacementNeed.Purpose.START, PlacementNeed.Purpose.MOVE, PlacementNeed.Purpose.PERMIT);

  /** Exceeds the number of targets that one request excludes. */
  private static final int MAX_EXCLUDED = 64;

  @Override
  public Payload encode(PeerMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.LoadReport report) {
      out.packArrayHeader(1 + LOAD_REPORT_FIELDS);
      out.packInt(TYPE_LOAD_REPORT);
      out.packLong(report.lastGrant());
      write(out, report.loads());
      SpeedCodec.writeObservations(out, report.observations());
    } else if (message instanceof PeerMessage.RemoteLoadReport remote) {
      out.packArrayHeader(1 + REMOTE_LOAD_REPORT_FIELDS);
      out.packInt(TYPE_REMOTE_LOAD_REPORT);
      out.packInt(remote.instances());
      write(out, remote.loads());
      SpeedCodec.writeSpeeds(out, remote.speeds());
    } else if (message instanceof PeerMessage.PlacementRequest request) {
      out.packArrayHeader(1 + PLACEMENT_REQUEST_FIELDS);
      out.packInt(TYPE_PLACEMENT_REQUEST);
      out.packLong(request.ticket());
      write(out, request.need());
    } else if (message instanceof PeerMessage.PlacementReply reply) {
      out.packArrayHeader(1 + PLACEMENT_REPLY_FIELDS);
      out.packInt(TYPE_PLACEMENT_REPLY);
      out.packLong(reply.ticket());
      out.packLong(reply.grant());
      write(out, reply.target());
      write(out, reply.backup());
    } else if (message instanceof PeerMessage.PlacementQueued queued) {
      writeTicket(out, TYPE_PLACEMENT_QUEUED, queued.ticket());
    } else if (message instanceof PeerMessage.PlacementCancelled cancelled) {
      writeTicket(out, TYPE_PLACEMENT_CANCELLED, cancelled.ticket());
    } else if (message instanceof PeerMessage.PermitReply reply) {
      out.packArrayHeader(1 + PERMIT_REPLY_FIELDS);
      out.packInt(TYPE_PERMIT_REPLY);
      out.packLong(reply.ticket());
      write(out, reply.target());
      out.packArrayHeader(reply.waitMs().isPresent() ? 1 : 0);
      if (reply.waitMs().isPresent()) {
        out.packLong(reply.waitMs().get());
      }
    } else if (message instanceof PeerMessage.PlacementRejected rejected) {
      out.packArrayHeader(1 + PLACEMENT_REJECTED_FIELDS);
      out.packInt(TYPE_PLACEMENT_REJECTED);
      out.packLong(rejected.ticket());
      out.packLong(rejected.retryAfterMs());
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
    out.packString(need.preferredDomain().name());
    out.packBoolean(need.wantsBackup());
    out.packInt(need.priority());
    out.packLong(need.objectiveMs());
    writeText(out, need.workspace());
    writeText(out, need.fingerprint());
    out.packLong(need.sinceArrivalMs());
    out.packLong(need.usefulMs());
    out.packLong(need.leftMs());
    out.packLong(need.eventGapObjectiveMs());
    writeText(out, need.softwareVersion().map(SoftwareVersion::name));
  }

  private static void writeText(MessagePacker out, Optional<String> text) throws IOException {
    out.packArrayHeader(text.isPresent() ? 1 : 0);
    if (text.isPresent()) {
      out.packString(text.get());
    }
  }

  private static void write(MessagePacker out, Optional<TargetId> target) throws IOException {
    out.packArrayHeader(target.isPresent() ? 1 : 0);
    if (target.isPresent()) {
      out.packString(target.get().name());
    }
  }

  private static void write(MessagePacker out, List<TargetLoad> loads) throws IOException {
    out.packArrayHeader(loads.size());
    for (TargetLoad load : loads) {
      out.packArrayHeader(LOAD_FIELDS);
      out.packString(load.target().name());
      out.packLong(load.incarnation());
      out.packLong(load.requests());
      out.packLong(load.tokens());
      out.packLong(load.prefillTokens());
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
        case TYPE_LOAD_REPORT -> LOAD_REPORT_FIELDS;
        case TYPE_REMOTE_LOAD_REPORT -> REMOTE_LOAD_REPORT_FIELDS;
        case TYPE_PLACEMENT_REQUEST -> PLACEMENT_REQUEST_FIELDS;
        case TYPE_PLACEMENT_REPLY -> PLACEMENT_REPLY_FIELDS;
        case TYPE_PLACEMENT_QUEUED, TYPE_PLACEMENT_CANCELLED -> TICKET_FIELDS;
        case TYPE_PERMIT_REPLY -> PERMIT_REPLY_FIELDS;
        case TYPE_PLACEMENT_REJECTED -> PLACEMENT_REJECTED_FIELDS;
        default -> -1;
      };
    }

    @Override
    public PeerMessage read(int type, BoundedReader in) throws IOException {
      return switch (type) {
        case TYPE_LOAD_REPORT ->
            new PeerMessage.LoadReport(in.longValue(), loads(in), SpeedCodec.observations(in));
        case TYPE_REMOTE_LOAD_REPORT ->
            new PeerMessage.RemoteLoadReport(in.intValue(), loads(in), SpeedCodec.speeds(in));
        case TYPE_PLACEMENT_REQUEST -> new PeerMessage.PlacementRequest(in.longValue(), need(in));
        case TYPE_PLACEMENT_QUEUED -> new PeerMessage.PlacementQueued(in.longValue());
        case TYPE_PLACEMENT_CANCELLED -> new PeerMessage.PlacementCancelled(in.longValue());
        case TYPE_PERMIT_REPLY ->
            new PeerMessage.PermitReply(
                in.longValue(),
                in.optional(SchedulingCodec::target),
                in.optional(BoundedReader::longValue));
        case TYPE_PLACEMENT_REJECTED ->
            new PeerMessage.PlacementRejected(in.longValue(), in.longValue());
        default ->
            new PeerMessage.PlacementReply(
                in.longValue(),
                in.longValue(),
                in.optional(SchedulingCodec::target),
                in.optional(SchedulingCodec::target));
      };
    }
  }

  private static PlacementNeed need(BoundedReader in) throws IOException {
    return new PlacementNeed(
        in.constant(PURPOSES),
        in.text(MAX_NAME_BYTES),
        in.longValue(),
        in.longValue(),
        Set.copyOf(in.list(MAX_EXCLUDED, SchedulingCodec::target)),
        new FailureDomain(in.text(MAX_NAME_BYTES)),
        in.flag(),
        in.intValue(),
        in.longValue(),
        in.optional(text -> text.text(MAX_NAME_BYTES)),
        in.optional(text -> text.text(PlacementNeed.MAX_FINGERPRINT_LENGTH)),
        in.longValue(),
        in.longValue(),
        in.longValue(),
        in.longValue(),
        in.optional(text -> new SoftwareVersion(text.text(SoftwareVersion.MAX_BYTES))));
  }

  private static TargetId target(BoundedReader in) throws IOException {
    return new TargetId(in.text(MAX_NAME_BYTES));
  }

  private static List<TargetLoad> loads(BoundedReader in) throws IOException {
    return in.list(MAX_TARGETS, list -> list.structure(LOAD_FIELDS, SchedulingCodec::load));
  }

  private static TargetLoad load(BoundedReader in) throws IOException {
    return new TargetLoad(
        target(in), in.longValue(), in.longValue(), in.longValue(), in.longValue());
  }
}
