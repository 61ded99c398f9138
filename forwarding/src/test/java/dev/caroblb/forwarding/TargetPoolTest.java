package dev.caroblb.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.FailureDomain;
import dev.caroblb.core.TargetId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetPoolTest {
  private static final FailureDomain HERE = new FailureDomain("zone-a");

  private final ReportedLoad stated = new ReportedLoad();
  private final TargetPool pool = new TargetPool(new Random(1), List.of(stated));

  private void available(int count) {
    for (int i = 0; i < count; i++) {
      String address = "10.0.0." + i + ":80";
      pool.available(new TargetInfo(new TargetId("t" + i), 1, "service", address, HERE));
    }
  }

  private static Exchange exchange(Optional<GenerationSize> size) {
    return ForwardingFixture.exchange(1, size);
  }

  private Target start(Optional<GenerationSize> size) {
    Exchange exchange = exchange(size);
    Target target =
        pool.choose(exchange.placementNeed(PlacementNeed.Purpose.START, HERE, 0), 0).orElseThrow();
    exchange.startAttempt(target, Optional.empty(), Optional.empty(), 0);
    return target;
  }

  @Nested
  class WorkThatOthersAreTold {
    private final Optional<GenerationSize> generation =
        Optional.of(new GenerationSize(3_000, 1_800, Optional.empty()));

    /** Guards against instances that all choose the same target of a plain service. */
    @Test
    void holdsNoPlainRequests() {
      available(3);
      start(Optional.empty());
      assertEquals(List.of(), pool.ownLoads());
      Target engine = start(generation);
      assertEquals(List.of(engine.load()), pool.ownLoads());
    }

    /** Guards against instances that all choose the engine which looked idle to each of them. */
    @Test
    void doesNotDecideAloneAmongManyInstances() {
      assertTrue(chosenAmong(74).size() > 5);
    }

    /** Guards against needless preemptions where few instances see each other's work in time. */
    @Test
    void decidesAloneAmongFew() {
      assertEquals(Set.of("t0"), chosenAmong(9));
    }

    private Set<String> chosenAmong(int instances) {
      available(20);
      Set<String> chosen = new TreeSet<>();
      List<TargetLoad> others = new ArrayList<>();
      for (int i = 1; i < 20; i++) {
        others.add(new TargetLoad(new TargetId("t" + i), 1, 5, 20_000, 0));
      }
      stated.replace(others, 0);
      pool.setInstances(instances);
      for (int i = 0; i < 20; i++) {
        chosen.add(
            pool.choose(exchange(generation).placementNeed(PlacementNeed.Purpose.START, HERE, 0), 0)
                .orElseThrow()
                .info()
                .id()
                .name());
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
      pool.engineLimits(ForwardingFixture.table().engines());
      available(ENGINES);
      List<TargetLoad> work = new ArrayList<>();
      for (int i = 0; i < ENGINES; i++) {
        // One engine is empty, so that only the load of all of them can speak against a backup.
        work.add(new TargetLoad(new TargetId("t" + i), 1, 1, i == 0 ? 0 : tokensAtEach, 0));
      }
      stated.replace(work, 0);
      Target primary = pool.usable(new TargetId("t1")).orElseThrow();
      return pool.chooseBackup(need, primary, 0).isPresent();
    }

    /** Guards against generations that end with their engine although memory is free. */
    @Test
    void areMadeWhileMemoryIsFree() {
      assertTrue(backedUp(10_000));
    }

    /** Guards against copies that take the memory of requests which wait. */
    @Test
    void areNotMadeWhenTheServiceFillsUp() {
      assertFalse(backedUp(30_000));
    }
  }
}
