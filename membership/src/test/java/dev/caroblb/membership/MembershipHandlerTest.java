package dev.caroblb.membership;

import static dev.caroblb.membership.Announcements.ENGINE;
import static dev.caroblb.membership.Announcements.alive;
import static dev.caroblb.membership.Announcements.leaving;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class MembershipHandlerTest {
  private final Cluster cluster = new Cluster(3, 1);
  private final Node first = cluster.nodes.get(0);
  private final Node second = cluster.nodes.get(1);

  @BeforeEach
  void exchangeHeartbeats() {
    cluster.advance(1_200);
  }

  private void announce(Node entry, Announcement announcement) {
    entry.announce(announcement, cluster.nowMs);
    cluster.collect();
  }

  private List<String> entriesOf(Node node) {
    return node.view.entries().stream().map(entry -> entry.id().name()).toList();
  }

  @Nested
  class AnnouncementAtOneEntry {
    /** Guards against a target that is known only to the entry to which it announced itself. */
    @Test
    void reachesEveryInstance() {
      announce(first, alive(1, 1));
      cluster.advance(50);
      for (Node node : cluster.nodes) {
        assertEquals(Map.of(ENGINE, 1L), node.available);
      }
    }

    /** Guards against load reports that do not reach placement. */
    @Test
    void laterOnesReportLoad() {
      announce(first, alive(1, 1));
      announce(first, alive(1, 2));
      assertTrue(first.changes.get(1) instanceof TargetChange.Reported);
    }
  }

  @Nested
  class TargetThatTurnsCold {
    private long warmUpLeftMs(Node node) {
      TargetChange last = node.changes.get(node.changes.size() - 1);
      return ((TargetChange.Reported) last).latest().warmUpLeftMs();
    }

    /** Guards against instances that hear of a warm-up only with the next refresh. */
    @Test
    void isNewsForEveryInstance() {
      announce(first, Announcements.cold(1, 1, 0));
      cluster.advance(1_200);
      announce(first, Announcements.cold(1, 2, 4_000));
      cluster.advance(50);
      long leftMs = warmUpLeftMs(second);
      assertTrue(leftMs > 3_900 && leftMs <= 4_000, leftMs + " ms");
    }

    /** Guards against an older announcement that ends a warm-up. */
    @Test
    void staysColdWhenAnOlderAnnouncementArrives() {
      announce(first, Announcements.cold(1, 1, 0));
      announce(first, Announcements.cold(1, 3, 4_000));
      announce(first, Announcements.cold(1, 2, 0));
      cluster.advance(50);
      assertTrue(warmUpLeftMs(first) > 3_900);
    }

    /** Guards against a warm-up that is taken for longer by an instance that hears of it late. */
    @Test
    void hasTheTimeSubtractedThatPassedSinceItsAnnouncement() {
      AgedAnnouncement aged = new AgedAnnouncement(Announcements.cold(1, 1, 1_000), 400);
      assertEquals(600, aged.warmUpLeftMs());
      assertEquals(0, new AgedAnnouncement(aged.announcement(), 1_400).warmUpLeftMs());
    }
  }

  @Nested
  class LateAnnouncementAfterLeave {
    /**
     * Guards against new work for a leaving target when an announcement that is not marked as
     * leaving arrives after the leave notice.
     */
    @Test
    void doesNotBringTheTargetBack() {
      announce(first, alive(1, 1));
      announce(first, leaving(1, 3));
      announce(first, alive(1, 2));
      announce(first, alive(1, 4));
      cluster.advance(50);
      assertEquals(Map.of(), first.available);
      assertEquals(Map.of(), second.available);
    }
  }

  @Nested
  class LostLeaveNotice {
    /** Guards against a lost leave notice that takes effect only when the target times out. */
    @Test
    void digestRecoversItWithinASecond() {
      announce(first, alive(1, 1));
      cluster.advance(50);
      cluster.allLinks(Cluster.Link.DROPS);
      announce(first, leaving(1, 2));
      cluster.allLinks(Cluster.Link.GOOD);
      cluster.advance(1_100);
      assertEquals(Map.of(), second.available);
      assertTrue(second.changes.get(1) instanceof TargetChange.Leaving);
    }
  }

  @Nested
  class LeaveNoticeAfterALaterAnnouncement {
    /**
     * Guards against instances that keep disagreeing after a late leave notice reached only one of
     * them.
     */
    @Test
    void reachesTheOthersByTheDigest() {
      announce(first, alive(1, 3));
      cluster.advance(50);
      cluster.allLinks(Cluster.Link.DROPS);
      announce(first, leaving(1, 2));
      cluster.allLinks(Cluster.Link.GOOD);
      cluster.advance(1_100);
      assertEquals(Map.of(), second.available);
    }
  }

  @Nested
  class RestartUnderTheSameAddress {
    /** Guards against treating generations of the previous run as still running. */
    @Test
    void replacesTheOldIncarnation() {
      announce(first, alive(1, 9));
      announce(first, alive(2, 1));
      announce(first, alive(1, 10));
      assertEquals(Map.of(ENGINE, 2L), first.available);
      TargetChange.Restarted restarted = (TargetChange.Restarted) first.changes.get(1);
      assertEquals(1, restarted.previousIncarnation());
      assertEquals(2, first.changes.size());
    }
  }

  @Nested
  class EntryCutOff {
    /** Guards against an isolated entry that keeps sending work based on outdated announcements. */
    @Test
    void givesNoNewWorkButStillListsTheOthers() {
      announce(first, alive(1, 1));
      cluster.advance(50);
      cluster.allLinks(Cluster.Link.DROPS);
      cluster.advance(3_700);
      assertEquals(Map.of(), second.available);
      assertEquals(List.of("i1", "i0", "i2"), entriesOf(second));
    }

    /** Guards against directing callers to a dead entry while others are alive. */
    @Test
    void isNotListedByTheOthers() {
      for (int other = 0; other < 3; other++) {
        cluster.link(1, other, Cluster.Link.DROPS);
      }
      cluster.advance(3_200);
      assertEquals(List.of("i0", "i2"), entriesOf(first));
    }
  }

  @Nested
  class SilentTarget {
    /** Guards against late messages of a stalled link that make a dead target appear alive. */
    @Test
    void lateForwardedRecordDoesNotMakeItAvailable() {
      cluster.link(0, 1, Cluster.Link.STALLS);
      announce(first, alive(1, 1));
      cluster.advance(5_000);
      cluster.link(0, 1, Cluster.Link.GOOD);
      cluster.advance(2_500, () -> assertEquals(Map.of(), second.available));
    }

    /** Guards against a record that is recovered by a digest and whose age then starts at zero. */
    @Test
    void recoveredRecordKeepsItsAge() {
      cluster.link(0, 1, Cluster.Link.DROPS);
      cluster.link(2, 1, Cluster.Link.DROPS);
      announce(first, alive(1, 1));
      cluster.advance(2_500);
      cluster.link(0, 1, Cluster.Link.GOOD);
      cluster.link(2, 1, Cluster.Link.GOOD);
      cluster.advance(1_300);
      assertEquals(Map.of(), second.available);
    }

    /**
     * Guards against counting a late duplicate of the last announcement, or an earlier one, as new.
     */
    @Test
    void oldAnnouncementsDoNotKeepItAlive() {
      announce(first, alive(1, 2));
      cluster.advance(3_000);
      announce(first, alive(1, 2));
      announce(first, alive(1, 1));
      assertEquals(1, first.changes.size());
      cluster.advance(700);
      assertEquals(Map.of(), first.available);
    }
  }

  @Nested
  class EntryWithoutLease {
    private void admitUntil(Node entry, long untilMs) {
      entry.admitUntil(untilMs, cluster.nowMs);
      cluster.collect();
    }

    /**
     * Guards against callers that are directed to an instance which has started again and refuses
     * their calls because it holds no configuration lease yet.
     */
    @Test
    void isListedOnlyOnceItAdmitsCalls() {
      admitUntil(second, cluster.nowMs);
      cluster.advance(50);
      assertEquals(List.of("i0", "i2"), entriesOf(first));
      assertEquals(List.of("i0", "i2"), entriesOf(second));
      admitUntil(second, cluster.nowMs + 4_000);
      cluster.advance(50);
      assertEquals(List.of("i0", "i1", "i2"), entriesOf(first));
    }

    /** Guards against an instance that is still listed after its lease has expired. */
    @Test
    void leavesTheListWhenItsLeaseExpires() {
      admitUntil(second, cluster.nowMs + 1_000);
      cluster.advance(900);
      assertEquals(List.of("i0", "i1", "i2"), entriesOf(first));
      cluster.advance(300);
      assertEquals(List.of("i0", "i2"), entriesOf(first));
    }

    /**
     * Guards against look-ups without any address while there is no leader, and against callers
     * that keep such addresses after another instance admits calls again.
     */
    @Test
    void isListedForAShortTimeIfNoInstanceAdmitsCalls() {
      cluster.nodes.forEach(node -> admitUntil(node, cluster.nowMs));
      cluster.advance(50);
      assertEquals(List.of("i0", "i1", "i2"), entriesOf(first).stream().sorted().toList());
      assertEquals(InstanceView.NOT_ADMITTING_TTL_MS, first.view.addressTtlMs());
    }

    /** Guards against an instance without a lease that is listed again during its planned stop. */
    @Test
    void isNotListedWhileItDrains() {
      second.handle(new MembershipMessage.StopRequested(), cluster.nowMs);
      cluster.nodes.forEach(node -> admitUntil(node, cluster.nowMs));
      cluster.advance(50);
      assertEquals(List.of("i0", "i2"), entriesOf(first).stream().sorted().toList());
    }
  }

  @Nested
  class EntryThatStarts {
    /**
     * Guards against callers that are directed to an instance which has just started and refuses
     * their calls because it knows no target yet.
     */
    @Test
    void isListedOnlyOnceItKnowsTheTargets() {
      Cluster starting = new Cluster(2, 1);
      Node running = starting.nodes.get(0);
      Node started = starting.nodes.get(1);
      starting.allLinks(Cluster.Link.DROPS);
      running.announce(alive(1, 1), starting.nowMs);
      started.admitUntil(10_000, starting.nowMs);
      starting.advance(100);
      starting.allLinks(Cluster.Link.GOOD);
      starting.advance(
          TargetCatchUp.TIMEOUT_MS - 500,
          () -> {
            boolean listed = entriesOf(running).contains("i1");
            assertTrue(!listed || started.available.containsKey(ENGINE), "listed without targets");
          });
      assertTrue(entriesOf(running).contains("i1"));
    }

    /** Guards against an instance that is never listed because no other one runs. */
    @Test
    void isListedAfterAWhileIfItIsAlone() {
      Cluster starting = new Cluster(2, 1);
      Node started = starting.nodes.get(1);
      starting.allLinks(Cluster.Link.DROPS);
      started.admitUntil(10_000, starting.nowMs);
      starting.advance(TargetCatchUp.TIMEOUT_MS + 500);
      assertEquals(InstanceView.ADDRESS_TTL_MS, started.view.addressTtlMs());
    }
  }

  @Nested
  class PlannedStop {
    /**
     * Guards against directing new callers to a stopping entry, and against refusing them while
     * they may still have its address cached.
     */
    @Test
    void leavesTheViewAtOnceAndRefusesAfterTheAddressesExpired() {
      first.handle(new MembershipMessage.StopRequested(), cluster.nowMs);
      cluster.collect();
      assertEquals(List.of(DrainStage.ANNOUNCED), first.stages);
      cluster.advance(50);
      assertEquals(List.of("i1", "i2"), entriesOf(second));
      cluster.advance(6_900);
      assertEquals(1, first.stages.size());
      cluster.advance(200);
      assertEquals(List.of(DrainStage.ANNOUNCED, DrainStage.REFUSE_NEW_CALLS), first.stages);
      cluster.advance(52_900);
      assertEquals(DrainStage.LIMIT_REACHED, first.stages.get(2));
    }

    /** Guards against admission that still assumes the limit from before a second request. */
    @Test
    void shortenedLimitIsReportedAgain() {
      long startMs = cluster.nowMs;
      first.handle(new MembershipMessage.StopRequested(), startMs);
      long limitMs = first.drainLimitMs;
      cluster.advance(8_000);
      first.handle(new MembershipMessage.StopRequested(), cluster.nowMs);
      assertEquals(limitMs - (60_000 - 8_000 - LocalDrain.SHORTENED_LIMIT_MS), first.drainLimitMs);
    }

    /**
     * Guards against a drain that a second request does not shorten, and against a lost report of a
     * stage.
     */
    @Test
    void secondRequestShortensItEvenWhenOutletsAreFull() {
      first.outletsFull = true;
      first.handle(new MembershipMessage.StopRequested(), cluster.nowMs);
      first.handle(new MembershipMessage.StopRequested(), cluster.nowMs);
      first.outletsFull = false;
      cluster.advance(9_900);
      assertEquals(List.of(DrainStage.ANNOUNCED, DrainStage.REFUSE_NEW_CALLS), first.stages);
      cluster.advance(300);
      assertEquals(DrainStage.LIMIT_REACHED, first.stages.get(2));
    }
  }

  @Nested
  class FullPlacementRing {
    /**
     * Guards against placement using a leaving target because its full ring refused the change
     * once.
     */
    @Test
    void changeIsOfferedAgain() {
      announce(first, alive(1, 1));
      first.outletsFull = true;
      announce(first, leaving(1, 2));
      first.outletsFull = false;
      assertFalse(first.available.isEmpty());
      cluster.advance(200);
      assertEquals(Map.of(), first.available);
    }
  }
}
