package dev.caroblb.targets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import dev.caroblb.pacing.TargetLimits;
import dev.caroblb.routing.EngineLimits;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetPoolTest {
  private static final FailureDomain HERE = new FailureDomain("zone-a");

  private final ReportedLoad reportedLoad = new ReportedLoad();
  private final TargetLimits limits = new TargetLimits();
  private final TargetPool pool = new TargetPool(new Random(1), List.of(reportedLoad), limits);

  private void available(int count) {
    for (int i = 0; i < count; i++) {
      String address = "10.0.0." + i + ":80";
      pool.available(new TargetInfo(new TargetId("t" + i), 1, "service", address, HERE));
    }
  }

  private static PlacementNeed need(long tokens, long promptTokens) {
    return new PlacementNeed(
        PlacementNeed.Purpose.START,
        "service",
        tokens,
        promptTokens,
        Set.of(),
        HERE,
        false,
        1,
        800);
  }

  private Target start(long tokens, long promptTokens) {
    Target target = pool.choose(need(tokens, promptTokens), 0).orElseThrow();
    target.started(tokens, promptTokens);
    return target;
  }

  @Nested
  class ReportedLoads {
    private static final long PROMPT_TOKENS = 3_000;
    private static final long TOKENS = 3_900;

    /** Guards against all instances choosing the same target of a plain service. */
    @Test
    void excludePlainRequests() {
      available(3);
      start(0, 0);
      assertEquals(List.of(), pool.ownLoads());
      Target engine = start(TOKENS, PROMPT_TOKENS);
      assertEquals(List.of(engine.load()), pool.ownLoads());
    }

    /** Guards against all instances choosing the engine that looks idle to each of them. */
    @Test
    void spreadChoicesAmongManyInstances() {
      assertTrue(chosenAmong(74).size() > 5);
    }

    /** Guards against needless preemptions when few instances see each other's load in time. */
    @Test
    void leadToTheLeastLoadedTargetAmongFewInstances() {
      assertEquals(Set.of("t0"), chosenAmong(9));
    }

    private Set<String> chosenAmong(int instances) {
      available(20);
      Set<String> chosen = new TreeSet<>();
      List<TargetLoad> loads = new ArrayList<>();
      for (int i = 1; i < 20; i++) {
        loads.add(new TargetLoad(new TargetId("t" + i), 1, 5, 20_000, 0));
      }
      reportedLoad.replace(loads, 0);
      pool.setInstances(instances);
      for (int i = 0; i < 20; i++) {
        chosen.add(pool.choose(need(TOKENS, PROMPT_TOKENS), 0).orElseThrow().info().id().name());
      }
      return chosen;
    }
  }

  @Nested
  class Backups {
    private static final int ENGINES = 10;

    private final PlacementNeed need =
        new PlacementNeed(
            PlacementNeed.Purpose.START, "service", 4_000, 3_000, Set.of(), HERE, true, 1, 1_800);

    private boolean backedUp(long tokensAtEach) {
      pool.setEngineLimits(Map.of("service", new EngineLimits(24, 34_000, true, true, 4)));
      available(ENGINES);
      List<TargetLoad> loads = new ArrayList<>();
      for (int i = 0; i < ENGINES; i++) {
        // One engine is idle, so that only the total load of the service can prevent a backup.
        loads.add(new TargetLoad(new TargetId("t" + i), 1, 1, i == 0 ? 0 : tokensAtEach, 0));
      }
      reportedLoad.replace(loads, 0);
      Target primary = pool.usable(new TargetId("t1"), "service", 0).orElseThrow();
      return pool.chooseBackup(need, primary, 0).isPresent();
    }

    /** Guards against generations lost with their engine although memory for a backup is free. */
    @Test
    void areMadeWhileMemoryIsFree() {
      assertTrue(backedUp(10_000));
    }

    /** Guards against backups that take memory needed by queued requests. */
    @Test
    void areNotMadeWhenTheServiceFillsUp() {
      assertFalse(backedUp(30_000));
    }
  }
}
