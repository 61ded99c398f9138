package dev.caroblb.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.routing.WarmUp;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class WarmUpsTest {
  private static final TargetRun RUN = new TargetRun(new TargetId("t"), 1);
  private static final FailureDomain ZONE = new FailureDomain("zone-a");
  private static final double PER_SECOND = 4;
  private static final double MAX_IN_ONE_SECOND = 1.5 * PER_SECOND + 5;

  private final TargetLimits limits = new TargetLimits();
  private long sequence = 10;

  private static void configure(TargetLimits limits) {
    limits.setWarmUps(Map.of("service", new WarmUp(5_000, PER_SECOND)));
  }

  @BeforeEach
  void configure() {
    configure(limits);
    limits.setShare(9, 9);
  }

  /** Announces, for the next time, how long the target stays cold from its announcement on. */
  private void announced(long leftMs, long ageMs, long nowMs) {
    announced(leftMs, ageMs, ++sequence, nowMs);
  }

  private void announced(long leftMs, long ageMs, long number, long nowMs) {
    AnnouncedWarmUp warmUp = new AnnouncedWarmUp(Math.max(0, leftMs - ageMs), ageMs, number);
    limits.available(RUN, "service", ZONE, warmUp, nowMs);
  }

  private static List<Long> sends(TargetLimits limits, long fromMs, long toMs) {
    List<Long> sends = new ArrayList<>();
    for (long ms = fromMs; ms < toMs; ms += 10) {
      while (limits.permits(RUN, ms) && sends.size() < 10_000) {
        limits.take(RUN, ms);
        sends.add(ms);
      }
    }
    return sends;
  }

  private static long mostInOneSecond(List<Long> sends) {
    return sends.stream()
        .mapToLong(start -> sends.stream().filter(ms -> ms >= start && ms < start + 1_000).count())
        .max()
        .orElse(0);
  }

  @Nested
  class Announcements {
    /** Guards against a warm-up that ends late because its announcement took time. */
    @Test
    void countFromTheTimeAtWhichTheTargetSentThem() {
      announced(3_000, 1_000, 10_000);
      assertTrue(limits.limited(RUN, 11_999));
      assertFalse(limits.limited(RUN, 12_000));
      assertEquals(0, limits.waitMs(RUN, 12_000));
    }

    /** Guards against an older announcement that arrives late and ends or extends a warm-up. */
    @Test
    void thatArriveLateHaveNoEffect() {
      announced(3_000, 0, 10_000);
      announced(0, 500, 9, 10_500);
      assertTrue(limits.limited(RUN, 10_500));
      announced(600_000, 0, 8, 10_600);
      assertFalse(limits.limited(RUN, 13_000));
    }

    /**
     * Guards against a warm-up that is ignored because the age of its announcement is uncertain.
     */
    @Test
    void applyInTheOrderInWhichTheTargetSentThem() {
      announced(0, 0, 10_000);
      announced(3_000, 100, 10_050);
      assertTrue(limits.limited(RUN, 10_050));
    }

    /** Guards against an announcement from before a response that ends what the response said. */
    @Test
    void doNotOverrideLaterResponses() {
      announced(0, 0, 10_000);
      assertTrue(limits.warmUpHeard(RUN, 3_000, 11_950, 12_000));
      announced(0, 300, 12_100);
      assertTrue(limits.limited(RUN, 12_100));
      announced(0, 0, 13_000);
      assertFalse(limits.limited(RUN, 13_000));
    }

    /** Guards against a target that said that it is warm and still gets few requests. */
    @Test
    void ofAWarmTargetEndTheWarmUp() {
      announced(3_000, 0, 10_000);
      announced(0, 0, 11_000);
      assertFalse(limits.limited(RUN, 11_000));
    }

    /** Guards against a response from before a warm-up that ends it. */
    @Test
    void areNotOverriddenByResponsesToEarlierRequests() {
      announced(3_000, 0, 10_000);
      assertFalse(limits.warmUpHeard(RUN, 0, 9_990, 10_020));
      assertTrue(limits.limited(RUN, 10_020));
      assertTrue(limits.warmUpHeard(RUN, 0, 10_030, 10_060));
      assertFalse(limits.limited(RUN, 10_060));
    }
  }

  @Nested
  class ColdTarget {
    /** Guards against permits from before that are used when a target turns cold again. */
    @Test
    void thatTurnsColdAgainGetsNoPermitsFromBefore() {
      limits.heard(RUN, Optional.of(100.0), 0, 1_000);
      announced(0, 0, 1_000);
      assertFalse(limits.permits(RUN, 9_000));
      assertTrue(limits.permits(RUN, 9_990));
      announced(5_000, 0, 10_000);
      assertEquals(List.of(), sends(limits, 10_000, 10_200));
      List<Long> sends = sends(limits, 10_200, 14_990);
      assertTrue(mostInOneSecond(sends) <= PER_SECOND + 1, sends + "");
      assertTrue(sends.size() >= 18, sends + "");
    }

    /** Guards against a rate above the least of the sources. */
    @Test
    void takesTheLeastOfItsRates() {
      limits.heard(RUN, Optional.of(1.0), 0, 1_000);
      announced(20_000, 0, 1_000);
      assertEquals(10, sends(limits, 1_000, 11_010).size());
    }

    /** Guards against all cut off entries that use a saved permit in the same second. */
    @Test
    void isNotFloodedByEntriesWithoutContact() {
      int entries = 88;
      List<Long> sends = new ArrayList<>();
      Random random = new Random(4);
      for (int i = 0; i < entries; i++) {
        TargetLimits entry = TargetLimits.ofEntry(random);
        configure(entry);
        entry.setShare(1, entries, 0);
        entry.coordinatorHeard(1_000);
        entry.available(RUN, "service", ZONE, new AnnouncedWarmUp(500_000, 0, 1), 1_000);
        // Nobody calls for a minute; then requests arrive at all entries at once.
        assertFalse(entry.permits(RUN, 1_000));
        sends.addAll(sends(entry, 60_000, 300_000));
      }
      long most = mostInOneSecond(sends);
      assertTrue(most <= MAX_IN_ONE_SECOND, most + " in one second");
      assertTrue(sends.size() >= 0.8 * PER_SECOND * 240, sends.size() + " in four minutes");
    }

    /** Guards against a rate that is given out twice, by a control instance and by lost entries. */
    @Test
    void getsOnlyTheShareOfTheEntriesInContact() {
      limits.setShare(88, 88, 1_000);
      limits.setShare(44, 44, 6_000);
      announced(60_000, 0, 6_000);
      assertEquals(20, sends(limits, 6_000, 16_010).size());
    }
  }

  @Nested
  class WithdrawnEvacuation {
    private final TargetRun other = new TargetRun(new TargetId("u"), 1);

    /** Guards against targets that are flooded when their domain comes back. */
    @Test
    void takesTheTargetsOfTheDomainForCold() {
      announced(0, 0, 10_000);
      limits.available(other, "service", new FailureDomain("zone-b"), AnnouncedWarmUp.WARM, 10_000);
      limits.warmingAgain(ZONE, 20_000);
      announced(0, 800, 20_100);
      assertTrue(limits.limited(RUN, 24_999));
      assertFalse(limits.limited(RUN, 25_000));
      assertFalse(limits.limited(other, 20_100));
      assertEquals(1, limits.gauges().warming());
    }

    /** Guards against warm targets that get few requests although they said that they are warm. */
    @Test
    void endsWithALaterAnnouncement() {
      announced(0, 0, 10_000);
      limits.warmingAgain(ZONE, 20_000);
      announced(0, 0, 20_900);
      assertFalse(limits.limited(RUN, 20_900));
    }

    /** Guards against a whole domain that together gets more than its targets tolerate. */
    @Test
    void leavesEachTargetItsOwnRate() {
      for (int i = 0; i < 15; i++) {
        TargetRun run = new TargetRun(new TargetId("d" + i), 1);
        limits.available(run, "service", ZONE, AnnouncedWarmUp.WARM, 10_000);
      }
      limits.warmingAgain(ZONE, 20_000);
      for (int i = 0; i < 15; i++) {
        TargetRun run = new TargetRun(new TargetId("d" + i), 1);
        int sent = 0;
        for (long ms = 20_000; ms < 24_990; ms += 10) {
          if (limits.permits(run, ms)) {
            limits.take(run, ms);
            sent++;
          }
        }
        assertTrue(sent >= 18 && sent <= 20, sent + " requests in 5 s");
      }
    }
  }
}
