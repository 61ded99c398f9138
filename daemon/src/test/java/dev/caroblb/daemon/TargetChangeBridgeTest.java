package dev.caroblb.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.SoftwareVersion;
import dev.caroblb.core.TargetId;
import dev.caroblb.forwarding.ForwardingMessage;
import dev.caroblb.membership.AgedAnnouncement;
import dev.caroblb.membership.Announcement;
import dev.caroblb.membership.TargetChange;
import dev.caroblb.membership.TargetKind;
import dev.caroblb.membership.TargetLoad;
import dev.caroblb.pacing.AnnouncedWarmUp;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetChangeBridgeTest {
  private final List<ForwardingMessage> forwarding = new ArrayList<>();
  private final TargetChangeBridge bridge =
      new TargetChangeBridge(forwarding::add, Optional.empty());

  @Nested
  class ColdTarget {
    /** Guards against a warm-up that is taken for longer because its announcement took time. */
    @Test
    void isPassedOnWithTheRemainingTime() {
      Announcement announcement =
          new Announcement(
              new TargetId("t"),
              1,
              7,
              TargetKind.SERVICE,
              new FailureDomain("z"),
              "10.0.0.1:80",
              List.of("s"),
              false,
              new TargetLoad(0, 0, 0, 0, 0, 0),
              List.of(),
              2_000,
              new SoftwareVersion("v1.1"));
      assertTrue(bridge.offer(new TargetChange.Reported(new AgedAnnouncement(announcement, 600))));
      ForwardingMessage.TargetAvailable available =
          (ForwardingMessage.TargetAvailable) forwarding.get(0);
      assertEquals(new AnnouncedWarmUp(1_400, 600, 7), available.warmUp());
      assertEquals(new SoftwareVersion("v1.1"), available.target().softwareVersion());
    }
  }
}
