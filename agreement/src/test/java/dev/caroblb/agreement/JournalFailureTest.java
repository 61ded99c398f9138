package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.agreement.codec.MemberListCodec;
import dev.caroblb.agreement.journal.JournalEvent;
import dev.caroblb.agreement.journal.JournalMessage;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LeaderLease;
import dev.caroblb.core.Payload;
import dev.caroblb.core.ProposalOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class JournalFailureTest {
  private static final GroupId GROUP = GroupId.CONTROL;
  private static final String INCARNATION = "0123456789abcdef0123456789abcdef";

  private final List<JournalMessage> journal = new ArrayList<>();
  private final List<LeaderLease> leases = new ArrayList<>();
  private final List<ReplicaFault> faults = new ArrayList<>();
  private final List<ProposalOutcome> outcomes = new ArrayList<>();
  private boolean journalHasRoom = true;
  private boolean repliesHaveRoom = true;
  private long nowMs;

  private final AgreementHandler handler = singleReplica();

  private AgreementHandler singleReplica() {
    InstanceId self = new InstanceId("replica-0");
    return new AgreementHandler(
        new AgreementSettings(new Member(self, INCARNATION), List.of(self)),
        Map.of(GROUP, new RecordingMachine(new ArrayList<>())),
        Map.of(),
        new AgreementOutlets(
            message -> true,
            message -> journalHasRoom && journal.add(message),
            leases::add,
            faults::add),
        new MemberListCodec(),
        new Random(1),
        0);
  }

  private void run(long durationMs) {
    for (long end = nowMs + durationMs; nowMs < end; nowMs++) {
      if (handler.nextTickMs() <= nowMs) {
        handler.tick(nowMs);
      }
      if (!journal.isEmpty()) {
        long sequence = journal.get(journal.size() - 1).sequence();
        journal.clear();
        handle(new AgreementMessage.FromJournal(new JournalEvent.Synced(GROUP, sequence)));
      }
    }
  }

  private void handle(AgreementMessage message) {
    handler.handle(message, nowMs);
    handler.batchEnd(nowMs);
  }

  private void propose(String command) {
    handle(
        new AgreementMessage.Propose(
            GROUP, Payload.ofText(command), outcome -> repliesHaveRoom && outcomes.add(outcome)));
  }

  private LeaderLease lastLease() {
    return leases.get(leases.size() - 1);
  }

  @Nested
  class WhenTheJournalFails {
    /** Guards against a replica that continues to lead after its storage failed. */
    @Test
    void leadershipEndsAndTheFaultIsReported() {
      run(5_000);
      assertTrue(lastLease().heldAt(nowMs));
      handler.handle(
          new AgreementMessage.Propose(GROUP, Payload.ofText("a"), outcomes::add), nowMs);
      handle(new AgreementMessage.FromJournal(new JournalEvent.Failed("disk full; free space")));
      assertEquals(List.of(new ReplicaFault("disk full; free space")), faults);
      assertFalse(lastLease().heldAt(nowMs));
      propose("b");
      run(5_000);
      assertEquals(new ProposalOutcome.Unknown(), outcomes.get(0));
      assertTrue(outcomes.get(1) instanceof ProposalOutcome.NotLeader);
      assertFalse(lastLease().heldAt(nowMs));
    }
  }

  @Nested
  class WhenTheJournalRingIsFull {
    /** Guards against journal messages that are dropped or reordered. */
    @Test
    void messagesAreOfferedAgainInOrder() {
      run(5_000);
      journalHasRoom = false;
      propose("a");
      propose("b");
      run(100);
      assertEquals(List.of(), outcomes);
      journalHasRoom = true;
      run(100);
      assertEquals(
          List.of(
              new ProposalOutcome.Applied(Payload.ofText("position 1")),
              new ProposalOutcome.Applied(Payload.ofText("position 2"))),
          outcomes);
    }
  }

  @Nested
  class WhenAReplyRingIsFull {
    /** Guards against a full ring that delays the outcomes for other rings. */
    @Test
    void otherRingsGetTheirOutcomes() {
      run(5_000);
      repliesHaveRoom = false;
      propose("a");
      run(100);
      handle(new AgreementMessage.Propose(GROUP, Payload.ofText("b"), outcomes::add));
      run(100);
      assertEquals(List.of(new ProposalOutcome.Applied(Payload.ofText("position 2"))), outcomes);
    }

    /** Guards against an outcome that is dropped because the ring of its proposer is full. */
    @Test
    void theOutcomeIsOfferedAgain() {
      run(5_000);
      repliesHaveRoom = false;
      propose("a");
      run(100);
      repliesHaveRoom = true;
      run(100);
      assertEquals(1, outcomes.size());
    }
  }
}
