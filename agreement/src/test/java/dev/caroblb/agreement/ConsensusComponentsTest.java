package dev.caroblb.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConsensusComponentsTest {
  @Nested
  class SlotReportsAfterAMemberChange {
    /** Guards against a delayed report of an old incarnation that makes the new one look lost. */
    @Test
    void ignoreReportsOnEarlierProbes() {
      InstanceId slot = new InstanceId("replica-1");
      Member old = new Member(slot, "0".repeat(32));
      Member fresh = new Member(slot, "1".repeat(32));
      List<PeerMessage> sent = new ArrayList<>();
      SlotReports reports =
          new SlotReports(
              GroupId.CONTROL,
              new Member(new InstanceId("replica-0"), "2".repeat(32)),
              new PeerSender(message -> sent.add(message.message())),
              new Random(1));
      reports.updateMembers(List.of(old));
      reports.probe(slot);
      reports.updateMembers(List.of(fresh));
      long nonce = ((PeerMessage.Probe) sent.get(0)).nonce();
      reports.receive(
          slot,
          new PeerMessage.Report(GroupId.CONTROL, old.incarnation(), nonce, false, List.of()));
      assertEquals(Set.of(), reports.lost(List.of(fresh)));
    }
  }

  @Nested
  class RetryQueueBehindAFullRing {
    /** Guards against a message that overtakes an earlier one that was refused. */
    @Test
    void keepsTheOrder() {
      List<Integer> taken = new ArrayList<>();
      boolean[] room = {false};
      RetryQueue<Integer> queue = new RetryQueue<>(number -> room[0] && taken.add(number));
      queue.offer(1);
      room[0] = true;
      queue.offer(2);
      queue.retry();
      assertEquals(List.of(1, 2), taken);
      assertTrue(queue.isEmpty());
    }
  }

  @Nested
  class LeaseOfALeader {
    /** Guards against a leader that votes for another one while its own lease is valid. */
    @Test
    void withholdsItsOwnVote() {
      LeaseTracker lease = new LeaseTracker(0);
      lease.extend(5_000);
      lease.end();
      assertTrue(lease.withholdsVotes(5_000 + ConsensusConstants.LEASE_MS - 1));
      assertFalse(lease.withholdsVotes(5_000 + ConsensusConstants.LEASE_MS));
    }
  }
}
