package dev.caroblb.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.membership.AgedAnnouncement;
import dev.caroblb.membership.Announcement;
import dev.caroblb.membership.TargetChange;
import dev.caroblb.membership.TargetKind;
import dev.caroblb.membership.TargetLoad;
import dev.caroblb.placement.PlacementMessage;
import dev.caroblb.placement.TargetState;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetDirectoryTest {
  private static final FailureDomain ZONE = new FailureDomain("zone-a");

  private final TargetDirectory directory = new TargetDirectory(count -> {});

  private static TargetState stateIn(List<PlacementMessage> messages) {
    return ((PlacementMessage.TargetSeen) messages.get(0)).view().state();
  }

  private TargetState report(long sequence, boolean leaving) {
    Announcement announcement =
        new Announcement(
            new TargetId("engine-1"),
            1,
            sequence,
            TargetKind.ENGINE,
            ZONE,
            "10.0.0.1:80",
            List.of("model"),
            leaving,
            new TargetLoad(0, 0, 0, 10, 0, 0),
            List.of());
    return stateIn(
        directory.apply(new TargetChange.Reported(new AgedAnnouncement(announcement, 0))));
  }

  @Nested
  class Evacuation {
    /** Guards against a report that makes an evacuated target available again. */
    @Test
    void lastsUntilItIsWithdrawn() {
      assertEquals(TargetState.AVAILABLE, report(1, false));
      assertEquals(TargetState.EVACUATED, stateIn(directory.setEvacuated(Set.of(ZONE))));
      assertEquals(TargetState.EVACUATED, report(2, false));
      assertEquals(Set.of(), directory.availableEngines());
      // The message is sent again if the ring of placement was full.
      assertEquals(TargetState.EVACUATED, stateIn(directory.setEvacuated(Set.of(ZONE))));
      assertEquals(TargetState.AVAILABLE, stateIn(directory.setEvacuated(Set.of())));
      assertEquals(1, directory.availableEngines().size());
    }

    /** Guards against a leaving target that is available after a withdrawal. */
    @Test
    void keepsLeavingTargetsLeaving() {
      assertEquals(TargetState.LEAVING, report(1, true));
      assertEquals(List.of(), directory.setEvacuated(Set.of(ZONE)));
      assertEquals(List.of(), directory.setEvacuated(Set.of()));
    }
  }
}
