package dev.caroblb.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.Refusal;
import dev.caroblb.core.RefusalReason;
import dev.caroblb.idempotency.codec.KeyStateMachine;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class IdempotencyHandlerTest {
  private static final InstanceId R0 = new InstanceId("r0");
  private static final InstanceId R1 = new InstanceId("r1");
  private static final Attempt ATTEMPT = new Attempt(new InstanceId("e"), 7, 1);
  private static final Attempt OTHER = new Attempt(new InstanceId("x"), 3, 9);
  private static final KeyMessage.Operation RESERVE = KeyMessage.Operation.RESERVE;

  private final KeyNode node = new KeyNode("e", 7, List.of(R0, R1), 0);

  private void begin(Optional<String> key) {
    node.begin(Calls.of(1, key, "body", 5_000), 0);
  }

  private void begin() {
    begin(Optional.of(Calls.key(1)));
  }

  private void advance(long fromMs, long toMs) {
    for (long ms = fromMs; ms <= toMs; ms += 10) {
      node.step(ms);
    }
  }

  private RefusalReason refusal() {
    Refusal refusal = ((KeyDecision.Refused) node.decisions.get(0)).refusal();
    return refusal.reason();
  }

  private void answer(
      InstanceId from, KeyMessage.Operation operation, KeyResult result, long nowMs) {
    node.receive(from, new KeyMessage.Answer(ATTEMPT, operation, result), nowMs);
  }

  @Nested
  class Entry {
    /** Guards against dispatching a call whose key is missing or malformed. */
    @Test
    void refusesBadKeys() {
      begin(Optional.empty());
      assertEquals(RefusalReason.KEY_REQUIRED, refusal());
      node.decisions.clear();
      begin(Optional.of("yesterday"));
      assertEquals(RefusalReason.MALFORMED, refusal());
    }

    /** Guards against an entry that keeps waiting for an unresponsive replica. */
    @Test
    void resendsToTheNextReplicaWithTheSameAttempt() {
      begin();
      InstanceId first = node.sent.peek().peer();
      advance(10, 350);
      PeerEnvelope<KeyMessage> second = node.sent.peekLast();
      assertEquals(2, node.sent.size());
      assertTrue(!second.peer().equals(first) && second.message().attempt().equals(ATTEMPT));
    }

    /** Guards against an endless redirect loop between replicas whose hints name each other. */
    @Test
    void limitsTheRedirectsBetweenResends() {
      begin();
      for (int i = 0; i < 10; i++) {
        PeerEnvelope<KeyMessage> last = node.sent.peekLast();
        Optional<InstanceId> hint = Optional.of(last.peer().equals(R0) ? R1 : R0);
        node.receive(last.peer(), new KeyMessage.NotLeader(ATTEMPT, RESERVE, hint), 20);
      }
      assertEquals(4, node.sent.size());
    }

    /** Guards against a key that stays reserved after its call timed out without an answer. */
    @Test
    void releasesTheKeyOfAnUnansweredReservation() {
      begin();
      advance(10, 5_050);
      assertEquals(RefusalReason.DEADLINE_AFTER_START, refusal());
      assertTrue(node.sent.peekLast().message() instanceof KeyMessage.Release);
    }

    /** Guards against reporting "not run" before the release is committed. */
    @Test
    void reportsNotRunOnlyAfterTheRelease() {
      begin();
      answer(R0, RESERVE, new KeyResult.Granted(), 10);
      node.handle(new IdempotencyMessage.NothingSent(1), 20);
      assertEquals(List.of(new KeyDecision.Granted(1)), node.decisions);
      answer(R0, KeyMessage.Operation.RELEASE, new KeyResult.Released(), 30);
      assertEquals(new KeyDecision.Released(1, true), node.decisions.get(1));
    }

    /**
     * Guards against a caller that waits forever, or is told "not run", while no leader answers.
     */
    @Test
    void reportsOutcomeUnknownWithoutARelease() {
      begin();
      answer(R0, RESERVE, new KeyResult.Granted(), 10);
      node.handle(new IdempotencyMessage.NothingSent(1), 20);
      advance(30, 7_600);
      assertEquals(new KeyDecision.Released(1, false), node.decisions.get(1));
    }

    /** Guards against starting a call on an answer to an earlier incarnation of this instance. */
    @Test
    void ignoresAnswersToAnEarlierIncarnation() {
      begin();
      Attempt earlier = new Attempt(ATTEMPT.entry(), 6, 1);
      node.receive(R0, new KeyMessage.Answer(earlier, RESERVE, new KeyResult.Granted()), 10);
      assertEquals(List.of(), node.decisions);
    }

    /**
     * Guards against a key that stays reserved after a delayed copy of a reservation was granted.
     */
    @Test
    void releasesALateGrant() {
      begin();
      node.handle(new IdempotencyMessage.NothingSent(1), 10);
      answer(R0, KeyMessage.Operation.RELEASE, new KeyResult.Released(), 20);
      node.sent.clear();
      answer(R0, RESERVE, new KeyResult.Granted(), 30);
      assertTrue(node.sent.peek().message() instanceof KeyMessage.Release);
      assertEquals(List.of(new KeyDecision.Released(1, true)), node.decisions);
    }
  }

  @Nested
  class Leader {
    private final KeyStateMachine records = new KeyStateMachine(KeyLimits.DEFAULT);
    private final CallKey key =
        CallKey.parse(Calls.of(1, Optional.empty(), "", 0).workspace(), Calls.key(1)).orElseThrow();

    private void request(KeyMessage.Request request) {
      node.receive(R1, request, 10);
      commit();
    }

    private void commit() {
      while (!node.proposals.isEmpty()) {
        KeyNode.Proposal proposal = node.proposals.remove(0);
        Payload result = records.apply(proposal.command());
        proposal.reply().offer(new ProposalOutcome.Applied(result));
        node.step(10);
      }
    }

    private void reserve(Attempt attempt) {
      request(new KeyMessage.Reserve(key, attempt, new Hash128(1, 1), 1_000));
    }

    private KeyMessage lastSent() {
      return node.sent.peekLast().message();
    }

    private KeyMessage answerTo(Attempt attempt, KeyResult result) {
      return new KeyMessage.Answer(attempt, RESERVE, result);
    }

    /** Guards against a grant by an instance that is not the leader. */
    @Test
    void redirectsToTheLeader() {
      node.lease(1, R0, 0);
      reserve(ATTEMPT);
      assertEquals(new KeyMessage.NotLeader(ATTEMPT, RESERVE, Optional.of(R0)), lastSent());
    }

    /**
     * Guards against a repeated call that gets no answer, or an answer other than the stored
     * outcome.
     */
    @Test
    void answersAWaitingRepeatedCallWithTheOutcome() {
      node.lease(1, node.id, 0);
      reserve(ATTEMPT);
      reserve(OTHER);
      assertEquals(new KeyMessage.Waiting(OTHER), lastSent());
      StoredOutcome outcome = StoredOutcome.of(200, "", Payload.ofText("done"));
      request(new KeyMessage.RecordOutcome(key, ATTEMPT, outcome));
      assertEquals(answerTo(OTHER, new KeyResult.Stored(outcome)), lastSent());
    }

    /** Guards against a repeated call that is not run although the first attempt was released. */
    @Test
    void grantsAWaitingRepeatedCallAfterARelease() {
      node.lease(1, node.id, 0);
      reserve(ATTEMPT);
      reserve(OTHER);
      request(new KeyMessage.Release(key, ATTEMPT));
      assertEquals(answerTo(OTHER, new KeyResult.Granted()), lastSent());
    }

    /** Guards against a repeated call that waits for an entry that has terminated. */
    @Test
    void answersAtOnceWhenTheHolderHasTerminated() {
      node.lease(1, node.id, 0);
      reserve(ATTEMPT);
      reserve(OTHER);
      node.handle(new IdempotencyMessage.InstanceGone(ATTEMPT.entry(), 7), 10);
      assertEquals(answerTo(OTHER, new KeyResult.Held(ATTEMPT)), lastSent());
    }

    /** Guards against a repeated call that waits beyond its deadline. */
    @Test
    void answersAtTheDeadline() {
      node.lease(1, node.id, 0);
      reserve(ATTEMPT);
      reserve(OTHER);
      advance(20, 1_100);
      assertEquals(answerTo(OTHER, new KeyResult.Held(ATTEMPT)), lastSent());
    }
  }
}
