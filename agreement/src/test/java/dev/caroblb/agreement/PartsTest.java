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

class PartsTest {
  @Nested
  class SlotReportsAfterAMemberChange {
    /** Guards against a delayed answer of an old incarnation that proves the new one lost. */
    @Test
    void ignoreAnswersToEarlierProbes() {
      InstanceId slot = new InstanceId("replica-1");
      Member old = new Member(slot, "0".repeat(32));
      Member fresh = new Member(slot, "1".repeat(32));
      List<PeerMessage> sent = new ArrayList<>();
      SlotReports reports =
          new SlotReports(
              GroupId.CONTROL,
              new Member(new InstanceId("replica-0"), "2".repeat(32)),
              new PeerLink(message -> sent.add(message.message())),
              new Random(1));
      reports.follow(List.of(old));
      reports.probe(slot);
      reports.follow(List.of(fresh));
      long nonce = ((PeerMessage.Probe) sent.get(0)).nonce();
      reports.receive(
          slot, new PeerMessage.Report(GroupId.CONTROL, old.incarnation(), nonce, false));
      assertEquals(Set.of(), reports.lost(List.of(fresh)));
    }
  }

  @Nested
  class BacklogBehindAFullRing {
    /** Guards against a later message that overtakes one that was refused. */
    @Test
    void keepsTheOrder() {
      List<Integer> taken = new ArrayList<>();
      boolean[] room = {false};
      Backlog<Integer> backlog = new Backlog<>(number -> room[0] && taken.add(number));
      backlog.offer(1);
      room[0] = true;
      backlog.offer(2);
      backlog.retry();
      assertEquals(List.of(1, 2), taken);
      assertTrue(backlog.isEmpty());
    }
  }

  @Nested
  class LeaseOfALeader {
    /** Guards against a leader that votes for another one while its own lease runs. */
    @Test
    void holdsItsOwnVoteBack() {
      LeaseKeeper lease = new LeaseKeeper(0);
      lease.extend(5_000);
      lease.end();
      assertTrue(lease.holdsVotes(5_000 + Timing.LEASE_MS - 1));
      assertFalse(lease.holdsVotes(5_000 + Timing.LEASE_MS));
    }
  }
}
