package dev.caroblb.membership.codec;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Payload;
import dev.caroblb.core.TargetId;
import dev.caroblb.membership.AgedAnnouncement;
import dev.caroblb.membership.Announcement;
import dev.caroblb.membership.Echo;
import dev.caroblb.membership.InstanceResources;
import dev.caroblb.membership.InstanceState;
import dev.caroblb.membership.PeerMessage;
import dev.caroblb.membership.TargetSummary;
import dev.caroblb.transport.codec.BoundedReader;
import dev.caroblb.transport.codec.Packing;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/**
 * Encodes each message as an array {@code [type, field, ...]}; later versions only append fields.
 */
public final class MembershipCodec implements MessageCodec<PeerMessage> {
  /** The position of a constant is its code on the wire; later versions only append. */
  private static final List<InstanceState> STATES =
      List.of(InstanceState.READY, InstanceState.DRAINING, InstanceState.NOT_ADMITTING);

  private static final int TYPE_HEARTBEAT = 1;
  private static final int TYPE_RECORDS = 2;
  private static final int TYPE_DIGEST = 3;
  private static final int TYPE_REQUEST = 4;

  private static final int HEARTBEAT_FIELDS = 9;
  private static final int RESOURCES_FIELDS = 3;
  private static final int RECORDS_FIELDS = 2;
  private static final int SUMMARIES_FIELDS = 1;
  private static final int SUMMARY_FIELDS = 4;
  private static final int ECHO_FIELDS = 3;

  /** Exceeds the number of targets that a table can hold. */
  private static final int MAX_SUMMARIES = 32_768;

  private static final int MAX_RECORDS = 256;

  /** Well above the number of dedicated control instances at the planned cluster size. */
  private static final int MAX_CONTACTS = 128;

  @Override
  public Payload encode(PeerMessage message) {
    return Packing.pack(out -> write(out, message));
  }

  private static void write(MessagePacker out, PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      writeHeartbeat(out, heartbeat);
    } else if (message instanceof PeerMessage.Records records) {
      writeRecords(out, records);
    } else if (message instanceof PeerMessage.Digest digest) {
      writeSummaries(out, TYPE_DIGEST, digest.targets());
    } else if (message instanceof PeerMessage.Request request) {
      writeSummaries(out, TYPE_REQUEST, request.known());
    }
  }

  private static void writeHeartbeat(MessagePacker out, PeerMessage.Heartbeat heartbeat)
      throws IOException {
    out.packArrayHeader(1 + HEARTBEAT_FIELDS);
    out.packInt(TYPE_HEARTBEAT);
    out.packLong(heartbeat.incarnation());
    out.packLong(heartbeat.sequence());
    out.packInt(STATES.indexOf(heartbeat.state()));
    out.packLong(heartbeat.configuration());
    out.packString(heartbeat.domain().name());
    out.packString(heartbeat.address());
    out.packLong(heartbeat.sentAtMs());
    out.packArrayHeader(heartbeat.contacts().size());
    for (InstanceId contact : heartbeat.contacts()) {
      out.packString(contact.name());
    }
    out.packArrayHeader(heartbeat.resources().isPresent() ? 1 : 0);
    if (heartbeat.resources().isPresent()) {
      InstanceResources resources = heartbeat.resources().get();
      out.packArrayHeader(RESOURCES_FIELDS);
      out.packLong(resources.milliCores());
      out.packLong(resources.linkKbps());
      out.packInt(resources.freePercent());
    }
  }

  private static void writeRecords(MessagePacker out, PeerMessage.Records records)
      throws IOException {
    out.packArrayHeader(1 + RECORDS_FIELDS);
    out.packInt(TYPE_RECORDS);
    out.packArrayHeader(records.echo().isPresent() ? 1 : 0);
    if (records.echo().isPresent()) {
      Echo echo = records.echo().get();
      out.packArrayHeader(ECHO_FIELDS);
      out.packLong(echo.incarnation());
      out.packLong(echo.sentAtMs());
      out.packLong(echo.heldMs());
    }
    out.packArrayHeader(records.records().size());
    for (AgedAnnouncement aged : records.records()) {
      AnnouncementFormat.write(out, aged);
    }
  }

  private static void writeSummaries(MessagePacker out, int type, List<TargetSummary> summaries)
      throws IOException {
    out.packArrayHeader(1 + SUMMARIES_FIELDS);
    out.packInt(type);
    out.packArrayHeader(summaries.size());
    for (TargetSummary summary : summaries) {
      out.packArrayHeader(SUMMARY_FIELDS);
      out.packString(summary.target().name());
      out.packLong(summary.incarnation());
      out.packLong(summary.sequence());
      out.packBoolean(summary.leaving());
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
        case TYPE_HEARTBEAT -> HEARTBEAT_FIELDS;
        case TYPE_RECORDS -> RECORDS_FIELDS;
        case TYPE_DIGEST, TYPE_REQUEST -> SUMMARIES_FIELDS;
        default -> -1;
      };
    }

    @Override
    public PeerMessage read(int type, BoundedReader in) throws IOException {
      return switch (type) {
        case TYPE_HEARTBEAT -> heartbeat(in);
        case TYPE_RECORDS -> records(in);
        case TYPE_DIGEST -> new PeerMessage.Digest(summaries(in));
        default -> new PeerMessage.Request(summaries(in));
      };
    }
  }

  private static PeerMessage heartbeat(BoundedReader in) throws IOException {
    return new PeerMessage.Heartbeat(
        in.longValue(),
        in.longValue(),
        in.constant(STATES),
        in.longValue(),
        new FailureDomain(in.text(AnnouncementFormat.MAX_NAME_BYTES)),
        in.text(Announcement.MAX_ADDRESS_LENGTH),
        in.longValue(),
        in.list(MAX_CONTACTS, name -> new InstanceId(name.text(AnnouncementFormat.MAX_NAME_BYTES))),
        in.optional(r -> r.structure(RESOURCES_FIELDS, MembershipCodec::resources))
            .filter(InstanceResources::valid));
  }

  private static InstanceResources resources(BoundedReader in) throws IOException {
    return new InstanceResources(in.longValue(), in.longValue(), in.intValue());
  }

  private static PeerMessage records(BoundedReader in) throws IOException {
    Optional<Echo> echo = in.optional(e -> e.structure(ECHO_FIELDS, MembershipCodec::echo));
    List<Optional<AgedAnnouncement>> records = in.list(MAX_RECORDS, AnnouncementFormat::read);
    return new PeerMessage.Records(echo, records.stream().flatMap(Optional::stream).toList());
  }

  private static Echo echo(BoundedReader in) throws IOException {
    return new Echo(in.longValue(), in.longValue(), in.longValue());
  }

  private static List<TargetSummary> summaries(BoundedReader in) throws IOException {
    return in.list(MAX_SUMMARIES, s -> s.structure(SUMMARY_FIELDS, MembershipCodec::summary));
  }

  private static TargetSummary summary(BoundedReader in) throws IOException {
    return new TargetSummary(
        new TargetId(in.text(AnnouncementFormat.MAX_NAME_BYTES)),
        in.longValue(),
        in.longValue(),
        in.flag());
  }
}
