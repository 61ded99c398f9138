package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WorkExchangeTest {
  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");

  private final List<Addressed<PeerMessage>> sent = new ArrayList<>();
  private final WorkExchange exchange = new WorkExchange(sent::add);

  private static TargetWork work(String target, long requests) {
    return new TargetWork(new TargetId(target), 1, requests, 100 * requests, 0);
  }

  private List<TargetWork> othersOf(InstanceId peer) {
    for (Addressed<PeerMessage> message : sent) {
      if (message.peer().equals(peer)
          && message.message() instanceof PeerMessage.OthersWork others) {
        return others.work();
      }
    }
    throw new AssertionError("nothing was told to " + peer);
  }

  @Nested
  class AtAControlInstance {
    /** Guards against an instance that is told its own work as that of others. */
    @Test
    void tellsEachTheSumOfTheOthers() {
      exchange.received(A, new PeerMessage.OwnWork(List.of(work("t", 2))), 0);
      exchange.received(B, new PeerMessage.OwnWork(List.of(work("t", 3), work("u", 1))), 0);
      exchange.tick(List.of(), 100);
      assertEquals(2, othersOf(A).size());
      assertTrue(othersOf(A).contains(work("t", 3)));
      assertEquals(List.of(work("t", 2)), othersOf(B));
    }

    /** Guards against a budget that is shared by too few when others ask elsewhere. */
    @Test
    void countsInstancesThatAskElsewhere() {
      exchange.follow(List.of(), 7);
      exchange.received(A, new PeerMessage.OwnWork(List.of(work("t", 2))), 0);
      exchange.tick(List.of(), 100);
      assertEquals(7, ((PeerMessage.OthersWork) sent.get(0).message()).instances());
    }

    /** Guards against the work of an instance that is gone. */
    @Test
    void forgetsInstancesThatFellSilent() {
      exchange.received(A, new PeerMessage.OwnWork(List.of(work("t", 2))), 0);
      exchange.received(B, new PeerMessage.OwnWork(List.of()), WorkExchange.STALE_MS);
      exchange.tick(List.of(), WorkExchange.STALE_MS + 1);
      assertEquals(List.of(), othersOf(B));
    }
  }

  @Nested
  class AtAnEntryInstance {
    /** Guards against an instance that asks a control instance which is gone for ever. */
    @Test
    void asksAnotherWhenNoAnswerComes() {
      exchange.follow(List.of(A, B), 1);
      exchange.answered(2, 0);
      exchange.tick(List.of(work("t", 1)), 10);
      InstanceId first = asked();
      sent.clear();
      exchange.tick(List.of(work("t", 2)), 10_000);
      assertTrue(!asked().equals(first));
    }

    /** Guards against instances that ask different ones for ever and see parts of the work. */
    @Test
    void returnsToTheFirstWhenTheControlInstancesChange() {
      exchange.follow(List.of(A, B), 1);
      exchange.answered(2, 0);
      exchange.tick(List.of(work("t", 1)), 10);
      exchange.tick(List.of(work("t", 2)), 10_000);
      sent.clear();
      exchange.follow(List.of(A, B, new InstanceId("c")), 1);
      exchange.answered(2, 10_000);
      exchange.tick(List.of(work("t", 3)), 10_200);
      assertEquals(A, asked());
    }

    private InstanceId asked() {
      List<InstanceId> asked = new ArrayList<>();
      for (Addressed<PeerMessage> message : sent) {
        if (message.message() instanceof PeerMessage.OwnWork own) {
          asked.add(message.peer());
        }
      }
      assertEquals(1, asked.size());
      return asked.get(0);
    }
  }
}
