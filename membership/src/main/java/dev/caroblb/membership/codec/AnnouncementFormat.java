package dev.caroblb.membership.codec;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.membership.AgedAnnouncement;
import dev.caroblb.membership.Announcement;
import dev.caroblb.membership.CacheEvent;
import dev.caroblb.membership.TargetKind;
import dev.caroblb.membership.TargetLoad;
import dev.caroblb.transport.codec.BoundedReader;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.msgpack.core.MessagePacker;

/** Encoding of one announcement with its age. */
final class AnnouncementFormat {
  static final int MAX_NAME_BYTES = 63;

  private static final int MAX_TEXT_BYTES = 4 * Announcement.MAX_ADDRESS_LENGTH;

  /** The position of a constant is its code on the wire; later versions only append. */
  private static final List<TargetKind> KINDS = List.of(TargetKind.ENGINE, TargetKind.SERVICE);

  /** The position of a constant is its code on the wire; later versions only append. */
  private static final List<CacheEvent.Change> CHANGES =
      List.of(CacheEvent.Change.STORED, CacheEvent.Change.EVICTED, CacheEvent.Change.CLEARED);

  private static final int FIELDS = 13;
  private static final int LOAD_FIELDS = 6;
  private static final int EVENT_FIELDS = 3;

  private AnnouncementFormat() {}

  static void write(MessagePacker out, AgedAnnouncement aged) throws IOException {
    Announcement announcement = aged.announcement();
    out.packArrayHeader(FIELDS);
    out.packLong(aged.ageMs());
    out.packString(announcement.target().name());
    out.packLong(announcement.incarnation());
    out.packLong(announcement.sequence());
    out.packInt(KINDS.indexOf(announcement.kind()));
    out.packString(announcement.domain().name());
    out.packString(announcement.address());
    out.packArrayHeader(announcement.serves().size());
    for (String name : announcement.serves()) {
      out.packString(name);
    }
    out.packBoolean(announcement.leaving());
    writeLoad(out, announcement.load());
    out.packArrayHeader(announcement.cacheEvents().size());
    for (CacheEvent event : announcement.cacheEvents()) {
      out.packArrayHeader(EVENT_FIELDS);
      out.packLong(event.sequence());
      out.packInt(CHANGES.indexOf(event.change()));
      out.packLong(event.prefix());
    }
    out.packLong(announcement.warmUpLeftMs());
    out.packString(announcement.softwareVersion().name());
  }

  private static void writeLoad(MessagePacker out, TargetLoad load) throws IOException {
    out.packArrayHeader(LOAD_FIELDS);
    out.packLong(load.running());
    out.packLong(load.waiting());
    out.packLong(load.usedBlocks());
    out.packLong(load.totalBlocks());
    out.packLong(load.preemptions());
    out.packLong(load.reportedAtMs());
  }

  /** Fields of a record that are checked when the announcement is created from them. */
  private record RawRecord(
      long ageMs,
      String target,
      long incarnation,
      long sequence,
      TargetKind kind,
      String domain,
      String address,
      List<String> serves,
      boolean leaving,
      RawLoad load,
      List<CacheEvent> cacheEvents,
      long warmUpLeftMs,
      String softwareVersion) {
    AgedAnnouncement toAnnouncement() {
      return new AgedAnnouncement(
          new Announcement(
              new TargetId(target),
              incarnation,
              sequence,
              kind,
              new FailureDomain(domain),
              address,
              serves,
              leaving,
              load.toLoad(),
              cacheEvents,
              warmUpLeftMs,
              new SoftwareVersion(softwareVersion)),
          ageMs);
    }
  }

  private record RawLoad(
      long running,
      long waiting,
      long usedBlocks,
      long totalBlocks,
      long preemptions,
      long reportedAtMs) {
    TargetLoad toLoad() {
      return new TargetLoad(running, waiting, usedBlocks, totalBlocks, preemptions, reportedAtMs);
    }
  }

  /**
   * Reads a record; empty if its values are invalid. The record is read completely in either case,
   * so that the records after it can be read.
   */
  static Optional<AgedAnnouncement> read(BoundedReader in) throws IOException {
    RawRecord fields = in.structure(FIELDS, AnnouncementFormat::fields);
    try {
      return Optional.of(fields.toAnnouncement());
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static RawRecord fields(BoundedReader in) throws IOException {
    return new RawRecord(
        in.longValue(),
        in.text(MAX_NAME_BYTES),
        in.longValue(),
        in.longValue(),
        in.constant(KINDS),
        in.text(MAX_NAME_BYTES),
        in.text(MAX_TEXT_BYTES),
        in.list(Announcement.MAX_SERVES, name -> name.text(MAX_TEXT_BYTES)),
        in.flag(),
        in.structure(LOAD_FIELDS, AnnouncementFormat::load),
        in.list(
            Announcement.MAX_CACHE_EVENTS,
            event -> event.structure(EVENT_FIELDS, AnnouncementFormat::cacheEvent)),
        in.longValue(),
        in.text(MAX_TEXT_BYTES));
  }

  private static RawLoad load(BoundedReader in) throws IOException {
    return new RawLoad(
        in.longValue(),
        in.longValue(),
        in.longValue(),
        in.longValue(),
        in.longValue(),
        in.longValue());
  }

  private static CacheEvent cacheEvent(BoundedReader in) throws IOException {
    return new CacheEvent(in.longValue(), in.constant(CHANGES), in.longValue());
  }
}
