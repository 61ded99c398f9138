package dev.caroblb.daemon;

import dev.caroblb.core.Outlet;
import dev.caroblb.forwarding.ForwardingMessage;
import dev.caroblb.membership.AgedAnnouncement;
import dev.caroblb.membership.Announcement;
import dev.caroblb.membership.TargetChange;
import dev.caroblb.pacing.AnnouncedWarmUp;
import dev.caroblb.scheduling.SchedulingMessage;
import dev.caroblb.targets.TargetInfo;
import java.util.Optional;

/** Passes changes of targets to the forwarding duty and, on a control instance, to scheduling. */
final class TargetChangeBridge implements Outlet<TargetChange> {
  private final Outlet<ForwardingMessage> forwarding;
  private final Optional<LateBoundOutlet<SchedulingMessage>> scheduling;

  TargetChangeBridge(
      Outlet<ForwardingMessage> forwarding,
      Optional<LateBoundOutlet<SchedulingMessage>> scheduling) {
    this.forwarding = forwarding;
    this.scheduling = scheduling;
  }

  @Override
  public boolean offer(TargetChange change) {
    if (change instanceof TargetChange.Leaving leaving) {
      return offer(
          new SchedulingMessage.TargetLeaving(leaving.target(), leaving.incarnation()),
          new ForwardingMessage.TargetLeaving(leaving.target(), leaving.incarnation()));
    }
    if (change instanceof TargetChange.Gone gone) {
      return offer(
          new SchedulingMessage.TargetGone(gone.target(), gone.incarnation()),
          new ForwardingMessage.TargetGone(gone.target(), gone.incarnation()));
    }
    if (change instanceof TargetChange.Reported reported) {
      return available(reported.latest());
    }
    if (change instanceof TargetChange.Restarted restarted) {
      return available(restarted.latest());
    }
    return available(((TargetChange.Available) change).latest());
  }

  private boolean available(AgedAnnouncement latest) {
    Announcement announcement = latest.announcement();
    if (announcement.serves().isEmpty()) {
      return true;
    }
    TargetInfo target =
        new TargetInfo(
            announcement.target(),
            announcement.incarnation(),
            announcement.serves().get(0),
            announcement.address(),
            announcement.domain(),
            announcement.softwareVersion());
    AnnouncedWarmUp warmUp =
        new AnnouncedWarmUp(latest.warmUpLeftMs(), latest.ageMs(), announcement.sequence());
    return offer(
        new SchedulingMessage.TargetAvailable(target, warmUp),
        new ForwardingMessage.TargetAvailable(target, warmUp));
  }

  private boolean offer(SchedulingMessage toScheduling, ForwardingMessage toForwarding) {
    boolean scheduled = scheduling.isEmpty() || scheduling.get().offer(toScheduling);
    return scheduled && forwarding.offer(toForwarding);
  }
}
