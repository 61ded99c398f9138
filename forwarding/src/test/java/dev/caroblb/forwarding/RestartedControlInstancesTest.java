package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Take-ups of streams whose origin was recorded by control instances that were restarted later. */
class RestartedControlInstancesTest {
  private static final int STREAMS = 24;
  private static final List<String> CONTROLS = List.of("control-0", "control-1", "control-2");
  private static final long PAUSE_MS = 500;

  private final EntryGroup group = new EntryGroup(CONTROLS.size(), 3, 4);
  private final List<Long> streams = new ArrayList<>();

  @BeforeEach
  void beginStreams() {
    for (int i = 0; i < STREAMS; i++) {
      streams.add(group.arrive(0, "/short/x"));
    }
    group.advance(PAUSE_MS);
    assertEquals(STREAMS, streams.stream().filter(group::begun).count());
  }

  private void restartInTurn() {
    for (String control : CONTROLS) {
      group.restart(control);
      group.advance(PAUSE_MS);
    }
  }

  private long takenUpAt(int entry) {
    List<Long> takeUps =
        streams.stream().map(each -> group.takeUp(entry, "/short/x", each)).toList();
    group.advance(PAUSE_MS);
    return takeUps.stream().filter(group::begun).count();
  }

  @Nested
  class InTurn {
    /**
     * Guards against take-ups that are refused after a rolling restart which ends with an entry.
     */
    @Test
    void knowTheStreamsOfAnEntryThatStopsNext() {
      restartInTurn();
      group.cutOff("entry-0");
      assertEquals(STREAMS, takenUpAt(1));
    }

    /** Guards against a record that the second take-up of a stream needs and that only one had. */
    @Test
    void knowAStreamThatIsTakenUpTwice() {
      restartInTurn();
      group.cutOff("entry-0");
      long second = group.takeUp(1, "/short/x", streams.get(0));
      group.advance(PAUSE_MS);
      assertTrue(group.begun(second));
      group.cutOff("entry-1");
      long third = group.takeUp(2, "/short/x", streams.get(0));
      group.advance(PAUSE_MS);
      assertTrue(group.begun(third));
    }
  }

  @Nested
  class Together {
    /** Guards against records that are lost with all control instances while their entry runs. */
    @Test
    void learnTheStreamsFromTheirEntry() {
      CONTROLS.forEach(group::restart);
      group.advance(PAUSE_MS);
      group.cutOff("entry-0");
      assertEquals(STREAMS, takenUpAt(1));
    }

    /**
     * Guards against a control instance that gives up because an entry does not answer at first.
     */
    @Test
    void learnTheStreamsAfterAPartition() {
      group.cutOff("entry-0");
      CONTROLS.forEach(group::restart);
      group.advance(PAUSE_MS);
      group.rejoin("entry-0");
      group.advance(2 * PAUSE_MS);
      group.cutOff("entry-0");
      assertEquals(STREAMS, takenUpAt(1));
    }
  }

  @Nested
  class Alone {
    /** Guards against a restarted control instance that is the only one a take-up can ask. */
    @Test
    void knowsTheStreamsWhileTheOthersAreCutOff() {
      group.restart("control-0");
      group.advance(PAUSE_MS);
      group.cutOff("entry-0");
      group.cutOff("control-1");
      group.cutOff("control-2");
      assertEquals(STREAMS, takenUpAt(1));
    }
  }
}
