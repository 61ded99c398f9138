package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.agreement.codec.MemberListCodec;
import dev.caroblb.agreement.journal.JournalEvent;
import dev.caroblb.agreement.journal.JournalMessage;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Sends single messages to one of three replicas. Its log ends with entry 2 of term 2. */
class TermRulesTest {
  private static final GroupId GROUP = GroupId.CONTROL;
  private static final Member SELF = member(0);
  private static final Member OTHER = member(1);
  private static final Member THIRD = member(2);
  private static final long AFTER_WITHHOLDING_MS = 1_001;
  private static final long AFTER_THE_TIMEOUT_MS = 2_401;

  private final List<PeerMessage> sent = new ArrayList<>();
  private final List<JournalMessage> journal = new ArrayList<>();
  private final AgreementHandler handler = recovered();

  private static Member member(int number) {
    return new Member(new InstanceId("replica-" + number), String.format("%032x", number));
  }

  private AgreementHandler recovered() {
    Snapshot snapshot = new Snapshot(1, 1, List.of(SELF, OTHER, THIRD), Payload.empty());
    LogEntry entry = new LogEntry(2, 2, EntryKind.COMMAND, Payload.ofText("a"));
    RecoveredGroup stored =
        new RecoveredGroup(2, Optional.empty(), Optional.of(snapshot), List.of(entry));
    return new AgreementHandler(
        new AgreementSettings(SELF, List.of(SELF.instance(), OTHER.instance(), THIRD.instance())),
        Map.of(GROUP, new RecordingMachine(new ArrayList<>())),
        Map.of(GROUP, stored),
        new AgreementOutlets(
            message -> sent.add(message.message()), journal::add, lease -> true, fault -> true),
        new MemberListCodec(),
        new Random(1),
        0);
  }

  private void receive(Member from, PeerMessage message, long nowMs) {
    handler.handle(
        new AgreementMessage.FromPeer(new PeerEnvelope<>(from.instance(), message)), nowMs);
    handler.batchEnd(nowMs);
  }

  private void sync(long nowMs) {
    long sequence = journal.get(journal.size() - 1).sequence();
    handler.handle(
        new AgreementMessage.FromJournal(new JournalEvent.Synced(GROUP, sequence)), nowMs);
    handler.batchEnd(nowMs);
  }

  private void requestVote(Member from, long term, long lastIndex, long lastTerm) {
    receive(
        from,
        new PeerMessage.VoteRequest(GROUP, from.incarnation(), term, false, lastIndex, lastTerm),
        AFTER_WITHHOLDING_MS);
  }

  private boolean granted() {
    return sent.stream()
        .anyMatch(m -> m instanceof PeerMessage.VoteResponse response && response.granted());
  }

  @Nested
  class WhenAskedForAVote {
    /** Guards against a leader that lacks a committed entry of a later term. */
    @Test
    void refusesALogThatEndsInAnEarlierTerm() {
      requestVote(OTHER, 3, 9, 1);
      sync(AFTER_WITHHOLDING_MS);
      assertFalse(granted());
    }

    /** Guards against a leader that lacks the last entries of the same term. */
    @Test
    void refusesAShorterLogOfTheSameTerm() {
      requestVote(OTHER, 3, 1, 2);
      sync(AFTER_WITHHOLDING_MS);
      assertFalse(granted());
    }

    /** Guards against a vote that is sent but lost in a crash. */
    @Test
    void grantsOnlyOnceTheVoteIsSynced() {
      requestVote(OTHER, 3, 2, 2);
      assertFalse(granted());
      sync(AFTER_WITHHOLDING_MS);
      assertTrue(granted());
    }

    /** Guards against two leaders in one term. */
    @Test
    void votesOnceInATerm() {
      requestVote(OTHER, 3, 2, 2);
      sync(AFTER_WITHHOLDING_MS);
      sent.clear();
      requestVote(THIRD, 3, 2, 2);
      sync(AFTER_WITHHOLDING_MS);
      assertFalse(granted());
    }
  }

  @Nested
  class WhenElected {
    private void lead() {
      handler.tick(AFTER_THE_TIMEOUT_MS);
      vote(3, true);
      sync(AFTER_THE_TIMEOUT_MS);
      vote(3, false);
      sync(AFTER_THE_TIMEOUT_MS);
      assertEquals(Role.LEADER, handler.status().get(0).role());
    }

    private void vote(long term, boolean preVote) {
      receive(
          OTHER,
          new PeerMessage.VoteResponse(GROUP, OTHER.incarnation(), 2, term, preVote, true),
          AFTER_THE_TIMEOUT_MS);
    }

    private void acknowledge(long index) {
      receive(
          OTHER,
          new PeerMessage.AppendResponse(GROUP, OTHER.incarnation(), 3, 0, true, index),
          AFTER_THE_TIMEOUT_MS);
    }

    /**
     * Guards against an entry of an earlier term that is committed too early and later replaced.
     */
    @Test
    void commitsEntriesOfEarlierTermsOnlyWithItsOwn() {
      lead();
      acknowledge(2);
      assertEquals(1, handler.status().get(0).commitIndex());
      acknowledge(3);
      assertEquals(3, handler.status().get(0).commitIndex());
    }

    /** Guards against a log in memory that is ahead of the stored one. */
    @Test
    void storesWhatItAppendedBeforeItStepsDown() {
      lead();
      handler.handle(
          new AgreementMessage.Propose(GROUP, Payload.ofText("b"), outcome -> true),
          AFTER_THE_TIMEOUT_MS);
      journal.clear();
      receive(
          OTHER,
          new PeerMessage.AppendResponse(GROUP, OTHER.incarnation(), 4, 0, false, 0),
          AFTER_THE_TIMEOUT_MS);
      assertEquals(Role.FOLLOWER, handler.status().get(0).role());
      assertTrue(
          journal.stream()
              .anyMatch(
                  m ->
                      m instanceof JournalMessage.Append append
                          && append.entries().get(0).payload().equals(Payload.ofText("b"))));
    }

    /** Guards against a response of another incarnation that is counted for the member. */
    @Test
    void ignoresResponsesOfAnotherIncarnation() {
      lead();
      receive(
          OTHER,
          new PeerMessage.AppendResponse(GROUP, "f".repeat(32), 3, 0, true, 3),
          AFTER_THE_TIMEOUT_MS);
      assertEquals(1, handler.status().get(0).commitIndex());
    }
  }

  @Nested
  class WhenFollowing {
    /** Guards against a commit of entries that were not compared with the leader's. */
    @Test
    void commitsOnlyEntriesComparedWithTheLeaders() {
      receive(
          OTHER,
          new PeerMessage.AppendRequest(GROUP, OTHER.incarnation(), 3, 0, 1, 1, 2, List.of()),
          AFTER_WITHHOLDING_MS);
      assertEquals(1, handler.status().get(0).commitIndex());
    }
  }
}
