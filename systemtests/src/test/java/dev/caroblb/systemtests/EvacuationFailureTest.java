package dev.caroblb.systemtests;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Evacuation orders while instances are killed. */
@Timeout(value = 200, unit = TimeUnit.SECONDS)
class EvacuationFailureTest {
  private static final String WORKSPACE = "receipts-mart";
  private static final String DOMAIN = "domain-3";
  private static final long IN_FORCE_MS = 5_000;
  private static final long RECOVERY_MS = 60_000;

  private final TestCaller caller = new TestCaller();
  private final AtomicInteger keys = new AtomicInteger();
  private TestCluster cluster;
  private SystemProbe probe;

  @BeforeEach
  void start() throws Exception {
    cluster = new TestCluster(4, 3);
    probe = new SystemProbe(cluster, caller);
    probe.startWithTeamFiles();
    cluster.startService("ledger-1", DOMAIN, "ledger");
    probe.awaitTargets(1);
  }

  @AfterEach
  void stop() throws Exception {
    System.out.print(cluster.severeLogLines());
    cluster.close();
  }

  /** Sends an order to the running instances in turn until one accepts it. */
  private void order(boolean begin) throws Exception {
    Wait.until("an instance accepts the order", RECOVERY_MS, () -> acceptedByAny(begin));
  }

  private boolean acceptedByAny(boolean begin) throws InterruptedException {
    for (String name : cluster.names()) {
      try {
        if (caller.evacuate(cluster.address(name), DOMAIN, begin).status() == 200) {
          return true;
        }
      } catch (IOException e) {
        // The instance was killed; the next one gets the order.
      }
    }
    return false;
  }

  private void awaitInForce(int domains, long limitMs) throws Exception {
    for (String name : cluster.names()) {
      if (cluster.instance(name).alive()) {
        Wait.until(
            name + " has " + domains + " evacuated domains", limitMs, () -> has(name, domains));
      }
    }
  }

  private boolean has(String name, int domains) throws IOException, InterruptedException {
    JsonNode evacuated = probe.status(name).path("evacuated");
    return evacuated.isArray() && evacuated.size() == domains;
  }

  private TestCaller.Response post(String name) throws IOException, InterruptedException {
    String key = System.currentTimeMillis() + "-posting-" + keys.incrementAndGet();
    return caller.postWithKey(cluster.address(name), WORKSPACE, "posting", key, "{}");
  }

  @Nested
  class OrderSurvives {
    /**
     * Guards against an order that is lost with the leader or at a restart of everything, and
     * against calls to an evacuated target, or that wait for it.
     */
    @Test
    void theLossOfTheLeaderAndOfAllInstances() throws Exception {
      order(true);
      awaitInForce(1, IN_FORCE_MS);
      TestCaller.Response refused = post("entry-4");
      assertEquals("no_target not_run", refused.reason() + " " + refused.kind());

      String leader = leader();
      cluster.instance(leader).kill();
      order(true);
      awaitInForce(1, IN_FORCE_MS);

      for (String name : cluster.names()) {
        cluster.instance(name).kill();
      }
      cluster.startAll();
      probe.awaitConfiguration(1);
      awaitInForce(1, IN_FORCE_MS);
      probe.awaitTargets(1);
      assertEquals("no_target", post("entry-4").reason());

      order(false);
      awaitInForce(0, IN_FORCE_MS);
      Wait.until("the service is used again", RECOVERY_MS, () -> post("entry-4").status() == 200);
    }

    /** The leader that a replica reports; the first status request only asks for it. */
    private String leader() throws Exception {
      AtomicReference<String> leader = new AtomicReference<>("");
      Wait.until(
          "a replica names the leader",
          RECOVERY_MS,
          () -> {
            leader.set(probe.leader("entry-1", "control").orElse(""));
            return !leader.get().isEmpty();
          });
      return leader.get();
    }
  }
}
