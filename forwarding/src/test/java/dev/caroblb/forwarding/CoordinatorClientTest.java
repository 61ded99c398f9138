package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class CoordinatorClientTest {
  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");

  private final List<Addressed<PeerMessage>> sent = new ArrayList<>();
  private final CoordinatorClient link = new CoordinatorClient(sent::add);

  private static List<TargetLoad> work(long requests) {
    return List.of(new TargetLoad(new TargetId("t"), 1, requests, 100 * requests, 0));
  }

  private static Exchange exchange(long id) {
    return ForwardingFixture.exchange(
        id, Optional.of(new GenerationSize(3_000, 1_000, Optional.empty())));
  }

  private Optional<Long> ask(Exchange exchange, long nowMs) {
    return link.requestPlacement(
        exchange,
        exchange.placementNeed(PlacementNeed.Purpose.START, ForwardingFixture.ZONE, nowMs),
        nowMs);
  }

  private Optional<Long> given(long ticket, long grant) {
    return link.replied(
        new PeerMessage.PlacementReply(
            ticket, grant, Optional.of(new TargetId("t")), Optional.empty()),
        1);
  }

  private Addressed<PeerMessage> last() {
    return sent.get(sent.size() - 1);
  }

  @Nested
  class Questions {
    /** Guards against requests that wait for an answer which nobody can give. */
    @Test
    void areNotAskedWithoutAControlInstance() {
      assertEquals(Optional.empty(), ask(exchange(1), 0));
      assertEquals(List.of(), sent);
    }

    /** Guards against an answer that is taken for that to another question. */
    @Test
    void areAnsweredOnce() {
      link.setControlInstances(List.of(A));
      assertTrue(ask(exchange(1), 0).isPresent());
      assertTrue(ask(exchange(2), 0).isPresent());
      assertEquals(Optional.of(2L), given(2, 1));
      assertEquals(Optional.of(1L), given(1, 2));
      assertEquals(Optional.empty(), given(1, 2));
    }

    /** Guards against engines that are kept free for requests which have ended. */
    @Test
    void areWithdrawnWhenTheRequestEndsWhileItWaits() {
      link.setControlInstances(List.of(A));
      Exchange exchange = exchange(1);
      ask(exchange, 0);
      link.queued(1, 1);
      exchange.setQueued();
      link.withdraw(exchange);
      assertEquals(new PeerMessage.PlacementCancelled(1), last().message());
      assertEquals(Optional.empty(), given(1, 1));
    }

    /** Guards against instances that wait for a control instance which is gone. */
    @Test
    void goToAnotherAfterTwoWithoutAnAnswer() {
      link.setControlInstances(List.of(A, B));
      for (int i = 1; i <= 2; i++) {
        Exchange exchange = exchange(i);
        ask(exchange, 0);
        assertEquals(A, last().peer());
        link.timedOut(exchange);
      }
      ask(exchange(3), 0);
      assertEquals(B, last().peer());
    }
  }

  @Nested
  class Statements {
    /** Guards against work that the control instance counts twice. */
    @Test
    void nameTheLastAnswerThatTheyInclude() {
      link.setControlInstances(List.of(A));
      ask(exchange(1), 0);
      ask(exchange(2), 0);
      given(1, 7);
      link.tick(work(1), 60);
      assertEquals(new PeerMessage.LoadReport(7, work(1)), last().message());
    }

    /** Guards against traffic that says nothing new. */
    @Test
    void areNotRepeatedAtOnce() {
      link.setControlInstances(List.of(A));
      link.remoteLoadReported(A, 0);
      link.tick(work(1), 60);
      link.tick(work(1), 120);
      assertEquals(1, sent.size());
      link.tick(work(1), 1_060);
      assertEquals(2, sent.size());
    }

    /** Guards against an instance that tells a control instance which is gone for ever. */
    @Test
    void goToAnotherWhenNothingIsHeard() {
      link.setControlInstances(List.of(A, B));
      link.remoteLoadReported(A, 0);
      link.tick(work(1), 10);
      InstanceId first = last().peer();
      link.tick(work(2), 10_000);
      assertNotEquals(first, sent.get(1).peer());
    }

    /** Guards against instances that ask different ones for ever and see parts of the work. */
    @Test
    void returnToTheFirstWhenTheControlInstancesChange() {
      link.setControlInstances(List.of(A, B));
      link.remoteLoadReported(A, 0);
      link.tick(work(1), 10);
      link.tick(work(2), 10_000);
      link.setControlInstances(List.of(A, B, new InstanceId("c")));
      sent.clear();
      link.tick(work(3), 10_200);
      assertEquals(List.of(A), sent.stream().map(Addressed::peer).toList());
    }

    /** Guards against instances that go on with different ones after the first was frozen. */
    @Test
    void returnToTheFirstWhenItStatesAgain() {
      link.setControlInstances(List.of(A, B));
      link.remoteLoadReported(A, 0);
      link.tick(work(1), 10_000);
      link.remoteLoadReported(A, 10_010);
      sent.clear();
      link.tick(work(2), 10_100);
      assertEquals(List.of(A), sent.stream().map(Addressed::peer).toList());
    }
  }
}
