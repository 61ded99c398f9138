package dev.caroblb.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.TargetId;
import dev.caroblb.core.TargetRun;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.routing.EngineLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests choices among a slow target t0 and two loaded targets of usual speed. */
class TargetChoiceTest {
  private static final FailureDomain HERE = new FailureDomain("zone-a");
  private static final TargetRun SLOW = run("t0");
  private static final long PAUSE_MS = 200;
  private static final long MEMORY = 26_000;

  private final ReportedLoad load = new ReportedLoad();
  private final ReportedSpeeds speeds = new ReportedSpeeds();
  private final TargetPool pool =
      new TargetPool(new Random(1), List.of(load), new TargetLimits(), speeds);

  private static TargetRun run(String name) {
    return new TargetRun(new TargetId(name), 1);
  }

  private String choose(long tokensAtUsualTargets, long pauseObjectiveMs, long objectiveMs) {
    pool.setEngineLimits(Map.of("service", new EngineLimits(24, MEMORY, true, false, 4)));
    List<TargetLoad> loads = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      TargetId id = new TargetId("t" + i);
      pool.available(new TargetInfo(id, 1, "service", "10.0.0.1:80", HERE));
      loads.add(new TargetLoad(id, 1, 1, i == 0 ? 0 : tokensAtUsualTargets, 0));
    }
    load.replace(loads, 0);
    speeds.replace(List.of(new TargetSpeed(SLOW, 500, 100, List.of(PAUSE_MS))), 0);
    PlacementNeed need =
        new PlacementNeed(
            PlacementNeed.Purpose.START,
            "service",
            4_000,
            3_000,
            Set.of(),
            HERE,
            false,
            1,
            objectiveMs,
            pauseObjectiveMs);
    String chosen = pool.choose(need, 0).orElseThrow().info().id().name();
    return chosen.equals("t0") ? "slow" : "usual";
  }

  @Nested
  class ASlowTarget {
    /** Guards against streams with long pauses although another target has room. */
    @Test
    void isSkippedIfItsPausesWouldBeTooLong() {
      assertEquals("slow", choose(18_000, 0, 1_800));
      assertEquals("slow", choose(18_000, PAUSE_MS, 1_800));
      assertEquals("usual", choose(18_000, PAUSE_MS - 1, 1_800));
    }

    /** Guards against late first events; 3,000 prompt tokens take 600 ms there. */
    @Test
    void isSkippedIfTheFirstEventWouldBeLate() {
      assertEquals("usual", choose(18_000, 0, 599));
      assertEquals("slow", choose(18_000, 0, 600));
    }

    /** Guards against full targets that get more requests while a slow one is idle. */
    @Test
    void isUsedIfNoOtherHasRoom() {
      assertEquals("slow", choose(MEMORY, PAUSE_MS - 1, 1_800));
    }
  }

  @Nested
  class ATableOfSpeeds {
    /** Guards against memory that grows with runs that ended or never existed. */
    @Test
    void keepsOnlyKnownRuns() {
      SpeedTable table = new SpeedTable();
      TargetInfo known = new TargetInfo(SLOW.target(), 1, "service", "10.0.0.1:80", HERE);
      List<SpeedSample> samples = List.of(new SpeedSample(0, 1, 50));
      table.update(() -> List.of(known), 0);
      table.observed(
          new InstanceId("entry"),
          List.of(new SpeedObservation(SLOW, samples), new SpeedObservation(run("x"), samples)),
          0);
      assertEquals(1, table.runs());
      table.update(List::of, 1_000);
      assertEquals(0, table.runs());
    }
  }
}
