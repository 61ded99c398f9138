package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.RefusalReason;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Entries and placement coordinators that learn of an evacuation at different times. */
class EvacuationGroupTest {
  private static final int ENTRIES = 3;
  private static final int TARGETS = 2;
  private static final FailureDomain ZONE = new FailureDomain("zone-a");
  private static final List<String> CONTROLS = List.of("control-0", "control-1");
  private static final List<String> ENTRY_NAMES = List.of("entry-0", "entry-1", "entry-2");

  private final LimitedTargetGroup group =
      new LimitedTargetGroup(CONTROLS.size(), ENTRIES, TARGETS);

  /** Lets requests arrive at all entries; every target names a limit, so they need permits. */
  private void traffic(long ms) {
    for (long untilMs = group.nowMs + ms; group.nowMs < untilMs; ) {
      for (int entry = 0; entry < ENTRIES; entry++) {
        group.arrive(entry);
      }
      group.advance(50);
    }
  }

  private void startWithLimits() {
    for (int i = 0; i < TARGETS; i++) {
      group.limit(i, 40);
    }
    traffic(3_000);
    assertTrue(received(0) > 0);
  }

  private long received(long fromMs) {
    return group.received(0, fromMs) + group.received(1, fromMs);
  }

  private void evacuate(List<String> names, FailureDomain... domains) {
    names.forEach(name -> group.evacuate(name, domains));
  }

  /** Nothing is sent, and each request is refused at the time of its arrival. */
  private void assertRefusedAtOnce() {
    group.advance(100);
    long fromMs = group.nowMs;
    traffic(1_000);
    assertEquals(0, received(fromMs));
    RecordingCaller caller = group.arrive(1);
    assertEquals(List.of("refused " + RefusalReason.NO_TARGET), caller.events);
  }

  @Nested
  class OrderKnown {
    /** Guards against permits of a coordinator that does not know the order. */
    @Test
    void byTheEntriesFirst() {
      startWithLimits();
      evacuate(ENTRY_NAMES, ZONE);
      assertRefusedAtOnce();
      group.restart("control-0");
      assertRefusedAtOnce();
    }

    /** Guards against entries that use their own share when the coordinator gives no permits. */
    @Test
    void byTheCoordinatorsFirst() {
      startWithLimits();
      evacuate(CONTROLS, ZONE);
      traffic(500);
      evacuate(ENTRY_NAMES, ZONE);
      assertRefusedAtOnce();
    }

    /** Guards against an entry that sends requests by itself because it is cut off. */
    @Test
    void byAnEntryThatIsCutOffAfterwards() {
      startWithLimits();
      evacuate(CONTROLS, ZONE);
      evacuate(ENTRY_NAMES, ZONE);
      group.cutOff("entry-1");
      traffic(3_000);
      assertRefusedAtOnce();
    }
  }

  @Nested
  class Withdrawal {
    /** Guards against targets that get nothing after the order was withdrawn. */
    @Test
    void letsTheTargetsBeUsed() {
      startWithLimits();
      evacuate(CONTROLS, ZONE);
      evacuate(ENTRY_NAMES, ZONE);
      assertRefusedAtOnce();
      evacuate(ENTRY_NAMES);
      evacuate(CONTROLS);
      long fromMs = group.nowMs;
      traffic(1_000);
      assertTrue(received(fromMs) > 10, "received " + received(fromMs));
    }
  }
}
