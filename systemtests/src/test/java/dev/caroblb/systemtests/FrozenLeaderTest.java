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

/** A control leader that stops for many lease times and then goes on. */
@Timeout(value = 300, unit = TimeUnit.SECONDS)
class IsolatedLeaderTest {
  private static final long ORDER_MS = 60_000;

  private final TestCaller caller = new TestCaller();
  private TestCluster cluster;
  private SystemProbe probe;

  @BeforeEach
  void start() throws Exception {
    cluster = new TestCluster(3, 3);
    probe = new SystemProbe(cluster, caller);
    probe.startWithTeams();
  }

  @AfterEach
  void stop() throws Exception {
    System.out.print(cluster.errors());
    cluster.close();
  }

  private JsonNode engineState(String address) throws Exception {
    return caller.get(address, "/v1/state").body();
  }

  private String controlLeader() throws Exception {
    Wait.until("a control leader", ORDER_MS, () -> probe.leader("entry-1", "control").isPresent());
    return probe.leader("entry-1", "control").orElseThrow();
  }

  @Nested
  class LeaderIsFrozen {
    /** Guards against orders of an old leader that take effect after those of its successor. */
    @Test
    void itsOrdersDoNotFollowThoseOfItsSuccessor() throws Exception {
      String checking = cluster.startEmptyEngine("engine-1", "domain-1", true);
      Wait.until(
          "the first engine is loaded",
          ORDER_MS,
          () -> engineState(checking).path("models").size() == 1);
      long firstTerm = engineState(checking).path("fencing").asLong();
      String frozen = controlLeader();
      cluster.instance(frozen).freeze();
      String ignoring = cluster.startEmptyEngine("engine-2", "domain-2", false);
      Wait.until(
          "the successor loads the second engine",
          ORDER_MS,
          () -> engineState(ignoring).path("models").size() == 1);
      cluster.instance(frozen).resume();
      probe.awaitConfiguration(1);
      String third = cluster.startEmptyEngine("engine-3", "domain-3", false);
      Wait.until(
          "the third engine is loaded",
          ORDER_MS,
          () -> engineState(third).path("models").size() == 1);
      long late = 0;
      for (String engine : List.of(checking, ignoring, third)) {
        late += engineState(engine).path("late_orders").asLong();
      }
      long secondTerm = engineState(ignoring).path("fencing").asLong();
      System.out.println(
          "leader "
              + frozen
              + " frozen: fencing token "
              + firstTerm
              + " then "
              + secondTerm
              + ", late orders "
              + late);
      assertTrue(secondTerm > firstTerm, "the successor used no larger fencing token");
      assertEquals(0, late, "late orders");
    }
  }
}
