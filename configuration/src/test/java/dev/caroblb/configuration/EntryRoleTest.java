package dev.caroblb.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class EntryRoleTest {
  private static final InstanceId R0 = new InstanceId("r0");
  private static final InstanceId R1 = new InstanceId("r1");

  private final Deque<PeerMessage.RenewRequest> requests = new ArrayDeque<>();
  private final Deque<InstanceId> targets = new ArrayDeque<>();
  private EntryView view = new EntryView(ConfigurationSnapshot.empty(), 0);
  private boolean consumerFull;
  private EntryRole entry;

  @BeforeEach
  void start() {
    entry =
        new EntryRole(
            "p1",
            new LeaderFinder(List.of(R0, R1)),
            (peer, message) -> {
              targets.add(peer);
              requests.add((PeerMessage.RenewRequest) message);
            },
            this::take,
            new ConfigurationCounters());
    entry.tick(0);
  }

  private boolean take(EntryView next) {
    if (!consumerFull) {
      view = next;
    }
    return !consumerFull;
  }

  private static FileChunk chunk(FileCursor after, long number, String text, boolean last) {
    FileCursor next = new FileCursor(number, "t.toml");
    return new FileChunk(after, List.of(new PublishedFile("t.toml", text)), next, last);
  }

  private PeerMessage.RenewAnswer answer(String incarnation, long number, FileChunk chunk) {
    return new PeerMessage.RenewAnswer(incarnation, requests.getLast().sequence(), number, chunk);
  }

  private void install(long number, long nowMs) {
    FileCursor cursor = requests.getLast().cursor();
    entry.answered(answer("p1", number, chunk(cursor, number, "team = \"t\"", true)), nowMs);
  }

  private FileChunk nothingNew() {
    FileCursor cursor = requests.getLast().cursor();
    return new FileChunk(cursor, List.of(), cursor, true);
  }

  @Nested
  class Lease {
    /** Guards against a lease that is counted from the arrival of the answer. */
    @Test
    void lastsFromTheSendTime() {
      install(1, 900);
      assertEquals(4_000, view.leaseValidUntilMs());
      assertTrue(view.admitsAt(3_999));
      assertFalse(view.admitsAt(4_000));
    }

    /** Guards against admission under an old number with the lease of a new one. */
    @Test
    void needsTheInstalledNumber() {
      FileCursor cursor = requests.getLast().cursor();
      entry.answered(answer("p1", 1, chunk(cursor, 1, "not toml", true)), 0);
      assertEquals(0, requests.getLast().installed());
      assertFalse(view.admitsAt(0));
    }

    /** Guards against a lease that the leader did not record because files were left to send. */
    @Test
    void needsTheLastChunk() {
      ConfigurationState state =
          ConfigurationState.restored(
              5, List.of(new StoredFile("t.toml", "team = \"t\"", "t", List.of(), 5)), List.of());
      FileCursor cursor = requests.getLast().cursor();
      entry.stateApplied(state, 0);
      entry.answered(answer("p1", 5, chunk(cursor, 5, "team = \"t\"", false)), 0);
      assertEquals(5, view.snapshot().number());
      assertFalse(view.admitsAt(0));
    }

    /** Guards against an answer to the process that had this name before. */
    @Test
    void needsAnAnswerToThisProcess() {
      entry.answered(answer("p0", 0, nothingNew()), 0);
      assertFalse(view.admitsAt(0));
    }
  }

  @Nested
  class InstalledNumber {
    /** Guards against an entry that goes back to what an earlier leader knew. */
    @Test
    void neverGetsSmaller() {
      install(7, 0);
      entry.answered(answer("p1", 6, nothingNew()), 0);
      assertEquals(7, view.snapshot().number());
    }

    /** Guards against a number that is installed without some of its files. */
    @Test
    void needsChunksWithoutAGap() {
      FileCursor later = new FileCursor(3, "a.toml");
      entry.answered(answer("p1", 4, chunk(later, 4, "team = \"t\"", true)), 0);
      assertEquals(0, view.snapshot().number());
    }

    /** Guards against a number in force that the consumer of views has not seen. */
    @Test
    void isAcknowledgedAfterTheConsumerTookIt() {
      consumerFull = true;
      install(1, 0);
      assertEquals(0, requests.getLast().installed());
      consumerFull = false;
      entry.tick(1_000);
      assertEquals(1, requests.getLast().installed());
    }

    /** Guards against acknowledgements that wait for the next renewal. */
    @Test
    void isAcknowledgedAtOnce() {
      install(1, 0);
      assertEquals(1, requests.getLast().installed());
    }
  }

  @Nested
  class Leader {
    /** Guards against an entry that keeps asking a replica that does not answer. */
    @Test
    void isSearchedWhenNobodyAnswers() {
      entry.tick(1_000);
      assertEquals(R1, targets.getLast());
    }

    /** Guards against a slow search after a change of leader, and against one without a pause. */
    @Test
    void isAskedSoonWhenAnotherReplicaNamesIt() {
      entry.notLeader(R0, Optional.of(R1), 10);
      assertEquals(EntryRole.RETRY_MS, entry.nextTickMs());
      entry.tick(EntryRole.RETRY_MS);
      assertEquals(R1, targets.getLast());
    }
  }
}
