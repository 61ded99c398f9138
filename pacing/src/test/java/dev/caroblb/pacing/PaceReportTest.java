package dev.caroblb.pacing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class PaceReportTest {
  private static final TargetRun RUN = new TargetRun(new TargetId("t"), 1);
  private static final InstanceId FIRST = new InstanceId("control-0");
  private static final InstanceId SECOND = new InstanceId("control-1");
  private static final InstanceId ENTRY = new InstanceId("entry-0");

  private final List<PeerEnvelope<PeerMessage>> sent = new ArrayList<>();

  private static PeerEnvelope<PeerMessage> to(InstanceId instance, PeerMessage message) {
    return new PeerEnvelope<>(instance, message);
  }

  @Nested
  class OfAnEntry {
    private final TargetLimits limits = new TargetLimits();
    private final PaceReporter reporter = new PaceReporter(sent::add, limits);

    private void start() {
      reporter.setControlInstances(List.of(FIRST, SECOND));
      reporter.useCoordinator(FIRST, 1_000);
      sent.clear();
    }

    /** Guards against a control instance that takes over and does not know of a warm-up. */
    @Test
    void namesColdTargetsToAllControlInstances() {
      start();
      reporter.warmUpHeard(RUN, 5_000, 1_970, 2_000);
      reporter.tick(2_000);
      PeerMessage report =
          new PeerMessage.PaceReport(
              List.of(new WarmUpStatement(RUN, 5_000, 0)), List.of(), List.of());
      assertEquals(List.of(to(FIRST, report), to(SECOND, report)), sent);
    }

    /** Guards against outcomes that are counted by two control instances, or twice by one. */
    @Test
    void tellsOutcomesOnceToTheInstanceInUse() {
      start();
      reporter.outcomes().answered(RUN, false);
      reporter.outcomes().answered(RUN, true);
      reporter.outcomes().failed(RUN);
      reporter.tick(2_000);
      reporter.tick(2_500);
      PeerMessage report =
          new PeerMessage.PaceReport(
              List.of(), List.of(new RunOutcomes(RUN, 1, 1, 1, 0)), List.of());
      assertEquals(List.of(to(FIRST, report)), sent);
    }

    /** Guards against rates that are lost when another control instance takes over. */
    @Test
    void namesTheKnownRatesToTheNextInstance() {
      start();
      LimitStatement pace = new LimitStatement(RUN, Optional.of(9.0), 0);
      PeerMessage.PaceAnnouncement announcement =
          new PeerMessage.PaceAnnouncement(List.of(), List.of(pace));
      reporter.announced(SECOND, announcement, 1_500);
      assertEquals(false, limits.limited(RUN, 1_500));
      reporter.announced(FIRST, announcement, 1_500);
      reporter.useCoordinator(SECOND, 2_000);
      PeerMessage report = new PeerMessage.PaceReport(List.of(), List.of(), List.of(pace));
      assertEquals(List.of(to(SECOND, report)), sent);
    }
  }

  @Nested
  class AtAControlInstance {
    private final TargetLimits limits = TargetLimits.ofControl(Optional.of(new LearnedRates()));
    private final PaceAnnouncer announcer =
        new PaceAnnouncer(sent::add, limits, () -> List.of(ENTRY));

    /** Guards against entries that do not hear that another entry met a cold target. */
    @Test
    void isAnnouncedToAllEntries() {
      announcer.reported(
          new PeerMessage.PaceReport(
              List.of(new WarmUpStatement(RUN, 5_000, 400)), List.of(), List.of()),
          2_000);
      announcer.tick(2_000);
      PeerMessage announcement =
          new PeerMessage.PaceAnnouncement(
              List.of(new WarmUpStatement(RUN, 5_000, 400)), List.of());
      assertEquals(List.of(to(ENTRY, announcement)), sent);
    }

    /** Guards against a rate that an entry keeps although no control instance learns it. */
    @Test
    void endsRatesThatAreNotTakenOver() {
      LimitStatement pace = new LimitStatement(RUN, Optional.of(9.0), 0);
      announcer.reported(new PeerMessage.PaceReport(List.of(), List.of(), List.of(pace)), 2_000);
      announcer.tick(2_000);
      PeerMessage announcement = new PeerMessage.PaceAnnouncement(List.of(), List.of());
      assertEquals(List.of(to(ENTRY, announcement)), sent);
    }
  }
}
