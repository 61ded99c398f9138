package dev.caroblb.systemtests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A control leader that is suspended until its successor has sent orders and then resumes. */
@Timeout(value = 300, unit = TimeUnit.SECONDS)
class FrozenLeaderTest {
  private static final long ORDER_TIMEOUT_MS = 60_000;

  private final TestCaller caller = new TestCaller();
  private TestCluster cluster;
  private SystemProbe probe;

  @BeforeEach
  void start() throws Exception {
    cluster = new TestCluster(3, 3);
    probe = new SystemProbe(cluster, caller);
    probe.startWithTeamFiles();
  }

  @AfterEach
  void stop() throws Exception {
    System.out.print(cluster.severeLogLines());
    cluster.close();
  }

  private JsonNode engineState(String address) throws Exception {
    return caller.get(address, "/v1/state").body();
  }

  private String controlLeader() throws Exception {
    Wait.until(
        "a control leader", ORDER_TIMEOUT_MS, () -> probe.leader("entry-1", "control").isPresent());
    return probe.leader("entry-1", "control").orElseThrow();
  }

  @Nested
  class LeaderIsFrozen {
    /**
     * Guards against orders of a replaced leader that reach an engine after those of its successor.
     */
    @Test
    void sendsNoLateOrdersAfterResuming() throws Exception {
      String fencedEngine = cluster.startEmptyEngine("engine-1", "domain-1", true);
      Wait.until(
          "the first engine is loaded",
          ORDER_TIMEOUT_MS,
          () -> engineState(fencedEngine).path("models").size() == 1);
      long firstFencingToken = engineState(fencedEngine).path("fencing").asLong();
      String frozenLeader = controlLeader();
      cluster.instance(frozenLeader).freeze();
      String unfencedEngine = cluster.startEmptyEngine("engine-2", "domain-2", false);
      Wait.until(
          "the successor loads the second engine",
          ORDER_TIMEOUT_MS,
          () -> engineState(unfencedEngine).path("models").size() == 1);
      cluster.instance(frozenLeader).resume();
      probe.awaitConfiguration(1);
      String thirdEngine = cluster.startEmptyEngine("engine-3", "domain-3", false);
      Wait.until(
          "the third engine is loaded",
          ORDER_TIMEOUT_MS,
          () -> engineState(thirdEngine).path("models").size() == 1);
      long lateOrders = 0;
      for (String engine : List.of(fencedEngine, unfencedEngine, thirdEngine)) {
        lateOrders += engineState(engine).path("late_orders").asLong();
      }
      long secondFencingToken = engineState(unfencedEngine).path("fencing").asLong();
      System.out.println(
          "leader "
              + frozenLeader
              + " frozen: fencing token "
              + firstFencingToken
              + " then "
              + secondFencingToken
              + ", late orders "
              + lateOrders);
      assertTrue(
          secondFencingToken > firstFencingToken,
          "the successor did not use a larger fencing token");
      assertEquals(0, lateOrders, "late orders");
    }
  }
}
