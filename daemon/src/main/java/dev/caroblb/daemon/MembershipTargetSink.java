package dev.caroblb.daemon;

import dev.caroblb.callers.TargetSink;
import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.TargetId;
import dev.caroblb.membership.Announcement;
import dev.caroblb.membership.CacheEvent;
import dev.caroblb.membership.MembershipMessage;
import dev.caroblb.membership.TargetKind;
import dev.caroblb.membership.TargetLoad;
import java.util.List;
import java.util.Locale;

/** Passes the announcements of targets from the HTTP front end to the membership duty. */
final class MembershipTargetSink implements TargetSink {
  private static final TargetLoad NO_LOAD = new TargetLoad(0, 0, 0, 0, 0, 0);
  private static final int HEX_RADIX = 16;

  private final Outlet<MembershipMessage> membership;

  MembershipTargetSink(Outlet<MembershipMessage> membership) {
    this.membership = membership;
  }

  @Override
  public boolean announce(TargetSink.AnnouncedTarget announced) {
    return membership.offer(new MembershipMessage.Announced(translate(announced)));
  }

  private static Announcement translate(TargetSink.AnnouncedTarget announced) {
    return new Announcement(
        new TargetId(announced.target()),
        announced.incarnation(),
        announced.sequence(),
        TargetKind.valueOf(announced.kind().toUpperCase(Locale.ROOT)),
        new FailureDomain(announced.domain()),
        announced.address(),
        announced.serves(),
        announced.leaving(),
        announced.load().map(MembershipTargetSink::load).orElse(NO_LOAD),
        cacheEvents(announced.cacheEvents()));
  }

  private static TargetLoad load(TargetSink.Load load) {
    return new TargetLoad(
        load.running(),
        load.waiting(),
        load.usedBlocks(),
        load.totalBlocks(),
        load.preemptions(),
        load.reportedAtMs());
  }

  private static List<CacheEvent> cacheEvents(List<TargetSink.AnnouncedCacheEvent> events) {
    return events.stream()
        .limit(Announcement.MAX_CACHE_EVENTS)
        .map(
            event ->
                new CacheEvent(
                    event.sequence(),
                    event.cached() ? CacheEvent.Change.STORED : CacheEvent.Change.EVICTED,
                    Long.parseUnsignedLong(event.prefix(), HEX_RADIX)))
        .toList();
  }
}
