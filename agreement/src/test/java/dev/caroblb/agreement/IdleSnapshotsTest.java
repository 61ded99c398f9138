package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.agreement.codec.MemberListCodec;
import dev.caroblb.agreement.journal.JournalMessage;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdleSnapshotsTest {
  private static final GroupId GROUP = GroupId.CONTROL;
  private static final Member SELF = new Member(new InstanceId("replica-0"), "0".repeat(32));

  private final List<JournalMessage> stored = new ArrayList<>();
  private final Applier applier = applier();

  private Applier applier() {
    Snapshot snapshot = new Snapshot(1, 1, List.of(SELF), Payload.empty());
    LogEntry entry = new LogEntry(2, 2, EntryKind.COMMAND, Payload.ofText("a"));
    RecoveredGroup recovered =
        new RecoveredGroup(2, Optional.empty(), Optional.of(snapshot), List.of(entry));
    ReplicatedLog log = new ReplicatedLog(recovered, new MemberListCodec());
    return new Applier(
        log,
        new GroupJournal(GROUP, stored::add, log.lastIndex()),
        new RecordingMachine(new ArrayList<>()),
        new RetryQueue<>(outcome -> true));
  }

  private void commitAt(IdleSnapshots snapshots, long nowMs) {
    applier.commitTo(2);
    snapshots.poll(nowMs);
  }

  private Payload state() {
    return ((JournalMessage.SaveSnapshot) stored.get(0)).snapshot().state();
  }

  @Nested
  class WhenTheStateMachineRequestsThem {
    private final IdleSnapshots snapshots = new IdleSnapshots(applier, true, 0);

    /** Guards against a replica that after a restart has no state until a leader is elected. */
    @Test
    void oneIsTakenAfterTheIdleDelay() {
      commitAt(snapshots, 5_000);
      assertTrue(stored.isEmpty());
      assertEquals(5_000 + ConsensusConstants.IDLE_SNAPSHOT_DELAY_MS, snapshots.dueMs());
      snapshots.poll(5_000 + ConsensusConstants.IDLE_SNAPSHOT_DELAY_MS);
      assertEquals("a", state().text());
    }

    /** Guards against repeated snapshots of the same state. */
    @Test
    void noneIsTakenWithoutACommand() {
      commitAt(snapshots, 0);
      snapshots.poll(ConsensusConstants.IDLE_SNAPSHOT_DELAY_MS);
      assertEquals(1, stored.size());
      assertEquals(Long.MAX_VALUE, snapshots.dueMs());
      snapshots.poll(10 * ConsensusConstants.IDLE_SNAPSHOT_DELAY_MS);
      assertEquals(1, stored.size());
    }
  }

  @Nested
  class WhenTheStateMachineDoesNotRequestThem {
    /**
     * Guards against snapshots for state machines that did not request them, such as those with a
     * large state.
     */
    @Test
    void noneIsTaken() {
      IdleSnapshots snapshots = new IdleSnapshots(applier, false, 0);
      commitAt(snapshots, 0);
      snapshots.poll(10 * ConsensusConstants.IDLE_SNAPSHOT_DELAY_MS);
      assertTrue(stored.isEmpty());
    }
  }
}
