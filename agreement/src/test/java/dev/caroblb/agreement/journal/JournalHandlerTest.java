package dev.caroblb.agreement.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.agreement.EntryKind;
import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.Member;
import dev.caroblb.agreement.RecoveredGroup;
import dev.caroblb.agreement.Snapshot;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JournalHandlerTest {
  private static final Path FOLDER = Path.of("/data");
  private static final GroupId KEYS = GroupId.keys(0);
  private static final List<GroupId> GROUPS = List.of(GroupId.CONTROL, KEYS);

  private final FaultyFiles files = new FaultyFiles(new Random(1));
  private final List<JournalEvent> events = new ArrayList<>();
  private boolean eventsFull;
  private JournalHandler handler;

  @BeforeEach
  void open() {
    handler = new JournalHandler(opened(), event -> !eventsFull && events.add(event));
  }

  private DataFolder opened() {
    return DataFolder.open(files, FOLDER, "c1", GROUPS)
        .getOrElseThrow(error -> new AssertionError(error.message()));
  }

  private RecoveredGroup afterCrash(GroupId group) {
    files.crash();
    return opened().takeRecovered(group).orElseThrow();
  }

  private static LogEntry entry(long index) {
    return new LogEntry(index, 1, EntryKind.COMMAND, Payload.ofText("entry " + index));
  }

  private static JournalMessage append(GroupId group, long sequence, long... indexes) {
    List<LogEntry> entries = new ArrayList<>();
    for (long index : indexes) {
      entries.add(entry(index));
    }
    return new JournalMessage.Append(group, sequence, entries);
  }

  private void batch(JournalMessage... messages) {
    for (JournalMessage message : messages) {
      handler.handle(message, 0);
    }
    handler.batchEnd(0);
  }

  private void assertFailedOnce() {
    assertEquals(1, events.stream().filter(JournalEvent.Failed.class::isInstance).count());
  }

  @Nested
  class WithABatch {
    /**
     * Guards against a sync for each message and against an event for a group that was not written.
     */
    @Test
    void syncsOnceForEachGroup() {
      int before = files.steps();
      batch(append(KEYS, 1, 1), append(KEYS, 2, 2, 3), append(KEYS, 3, 4));
      assertEquals(List.of(new JournalEvent.Synced(KEYS, 3)), events);
      assertEquals(4, files.steps() - before, "three writes and one sync");
    }

    /** Guards against an acknowledgement before the sync. */
    @Test
    void reportsNothingBeforeItsEnd() {
      handler.handle(append(KEYS, 1, 1), 0);
      assertEquals(List.of(), events);
    }

    /** Guards against replaced entries that remain in the log. */
    @Test
    void replacesLaterEntries() {
      batch(append(KEYS, 1, 1, 2, 3, 4), append(KEYS, 2, 2));
      assertEquals(List.of(entry(1), entry(2)), afterCrash(KEYS).entries());
    }

    /** Guards against groups that share votes or entries. */
    @Test
    void keepsGroupsApart() {
      Optional<Member> vote = Optional.of(GroupModel.VOTER);
      batch(append(KEYS, 1, 1), new JournalMessage.SaveVote(GroupId.CONTROL, 1, 3, vote));
      files.crash();
      DataFolder data = opened();
      assertEquals(
          new RecoveredGroup(3, vote, Optional.empty(), List.of()),
          data.takeRecovered(GroupId.CONTROL).orElseThrow());
      assertEquals(List.of(entry(1)), data.takeRecovered(KEYS).orElseThrow().entries());
    }
  }

  @Nested
  class WithSnapshots {
    private JournalMessage snapshot(long sequence, long lastIndex) {
      Snapshot snapshot =
          new Snapshot(lastIndex, 1, List.of(GroupModel.VOTER), Payload.ofText("s" + lastIndex));
      return new JournalMessage.SaveSnapshot(KEYS, sequence, snapshot, true);
    }

    /** Guards against a log that grows without bound although snapshots are taken. */
    @Test
    void removesTheLogBeforeThem() {
      for (int i = 1; i <= 50; i++) {
        batch(append(KEYS, 2L * i, i), snapshot(2L * i + 1, i));
      }
      List<Path> left = files.filesBelow(FOLDER.resolve("keys-0"));
      assertEquals(2, left.size(), left.toString());
    }

    /** Guards against a vote that is lost with the deleted segment that stored it. */
    @Test
    void keepsTheVote() {
      Optional<Member> vote = Optional.of(GroupModel.VOTER);
      batch(new JournalMessage.SaveVote(KEYS, 1, 7, vote), append(KEYS, 2, 1), snapshot(3, 1));
      RecoveredGroup found = afterCrash(KEYS);
      assertEquals(7, found.term());
      assertEquals(vote, found.votedFor());
    }
  }

  @Nested
  class WhenTheDiskIsFull {
    /** Guards against further writes after a failed one and against repeated events. */
    @Test
    void failsOnceAndWritesNothingMore() {
      batch(append(KEYS, 1, 1));
      files.limitSpace(10);
      batch(append(KEYS, 2, 2));
      int steps = files.steps();
      batch(append(GroupId.CONTROL, 1, 1));
      handler.tick(1_000);
      assertEquals(steps, files.steps());
      assertFailedOnce();
      assertTrue(events.toString().contains("No space left on device"), events.toString());
    }

    /** Guards against a partial record that is recovered as an entry or prevents a restart. */
    @Test
    void restartDropsThePartialRecord() {
      batch(append(KEYS, 1, 1));
      files.limitSpace(10);
      batch(append(KEYS, 2, 2));
      files.limitSpace(Long.MAX_VALUE);
      files.endProcess();
      assertEquals(List.of(entry(1)), opened().takeRecovered(KEYS).orElseThrow().entries());
    }
  }

  @Nested
  class WhenSyncFails {
    /** Guards against an acknowledgement of data that may not be on disk. */
    @Test
    void reportsNoneOfTheBatch() {
      files.failSyncs();
      batch(append(KEYS, 1, 1), append(GroupId.CONTROL, 1, 1));
      assertFailedOnce();
      assertEquals(1, events.size());
    }
  }

  @Nested
  class WhenAMessageContradictsTheLog {
    /** Guards against a log with a gap, which cannot be recovered. */
    @Test
    void failsInsteadOfWriting() {
      batch(append(KEYS, 1, 1), append(KEYS, 2, 3));
      assertFailedOnce();
    }
  }

  @Nested
  class WhenTheEventRingIsFull {
    /** Guards against an acknowledgement that is lost, which would stall the group. */
    @Test
    void offersAgainAtTheNextTick() {
      eventsFull = true;
      batch(append(KEYS, 1, 1));
      eventsFull = false;
      assertTrue(handler.nextTickMs() < 100);
      handler.tick(handler.nextTickMs());
      assertEquals(List.of(new JournalEvent.Synced(KEYS, 1)), events);
      assertEquals(Long.MAX_VALUE, handler.nextTickMs());
    }
  }
}
