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
  private final Deque<InstanceId> recipients = new ArrayDeque<>();
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
              recipients.add(peer);
              requests.add((PeerMessage.RenewRequest) message);
            },
            this::acceptView,
            new ConfigurationCounters());
    entry.tick(0);
  }

  private boolean acceptView(EntryView next) {
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
    entry.renewalAnswered(answer("p1", number, chunk(cursor, number, "team = \"t\"", true)), nowMs);
  }

  private FileChunk nothingNew() {
    FileCursor cursor = requests.getLast().cursor();
    return new FileChunk(cursor, List.of(), cursor, true);
  }

  @Nested
  class Lease {
    /**
     * Guards against a lease that starts when the answer arrives instead of when the request was
     * sent.
     */
    @Test
    void lastsFromTheSendTime() {
      install(1, 900);
      assertEquals(4_000, view.leaseValidUntilMs());
      assertTrue(view.admitsAt(3_999));
      assertFalse(view.admitsAt(4_000));
    }

    /** Guards against a lease for a new number that admits calls under the old number. */
    @Test
    void needsTheInstalledNumber() {
      FileCursor cursor = requests.getLast().cursor();
      entry.renewalAnswered(answer("p1", 1, chunk(cursor, 1, "not toml", true)), 0);
      assertEquals(0, requests.getLast().installed());
      assertFalse(view.admitsAt(0));
    }

    /**
     * Guards against an entry that assumes a lease although the leader granted none, because the
     * answer was not its last chunk.
     */
    @Test
    void needsTheLastChunk() {
      ConfigurationState state =
          ConfigurationState.restored(
              5, List.of(new StoredFile("t.toml", "team = \"t\"", "t", List.of(), 5)), List.of());
      FileCursor cursor = requests.getLast().cursor();
      entry.stateApplied(state, 0);
      entry.renewalAnswered(answer("p1", 5, chunk(cursor, 5, "team = \"t\"", false)), 0);
      assertEquals(5, view.snapshot().number());
      assertFalse(view.admitsAt(0));
    }

    /** Guards against accepting an answer to an earlier process of this instance. */
    @Test
    void needsAnAnswerToThisProcess() {
      entry.renewalAnswered(answer("p0", 0, nothingNew()), 0);
      assertFalse(view.admitsAt(0));
    }
  }

  @Nested
  class InstalledNumber {
    /** Guards against installing the smaller number of an earlier leader. */
    @Test
    void neverGetsSmaller() {
      install(7, 0);
      entry.renewalAnswered(answer("p1", 6, nothingNew()), 0);
      assertEquals(7, view.snapshot().number());
    }

    /** Guards against installing a number of which some files are missing. */
    @Test
    void needsChunksWithoutAGap() {
      FileCursor later = new FileCursor(3, "a.toml");
      entry.renewalAnswered(answer("p1", 4, chunk(later, 4, "team = \"t\"", true)), 0);
      assertEquals(0, view.snapshot().number());
    }

    /** Guards against acknowledging a number that the consumer of views has not accepted. */
    @Test
    void isAcknowledgedAfterTheConsumerAcceptedTheView() {
      consumerFull = true;
      install(1, 0);
      assertEquals(0, requests.getLast().installed());
      consumerFull = false;
      entry.tick(1_000);
      assertEquals(1, requests.getLast().installed());
    }

    /** Guards against an acknowledgement that is delayed until the next renewal. */
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
    void isSearchedWhenNoAnswerArrives() {
      entry.tick(1_000);
      assertEquals(R1, recipients.getLast());
    }

    /** Guards against a slow search for a new leader, and against retries without a delay. */
    @Test
    void isAskedSoonWhenAnotherReplicaNamesIt() {
      entry.leaderHintReceived(R0, Optional.of(R1), 10);
      assertEquals(EntryRole.RETRY_MS, entry.nextTickMs());
      entry.tick(EntryRole.RETRY_MS);
      assertEquals(R1, recipients.getLast());
    }
  }
}
