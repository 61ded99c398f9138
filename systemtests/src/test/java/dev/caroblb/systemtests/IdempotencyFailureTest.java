package dev.caroblb.systemtests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Calls that may not repeat, resent by their callers while instances die. */
@Timeout(value = 300, unit = TimeUnit.SECONDS)
class IdempotencyFailureTest {
  private static final String WORKSPACE = "receipts-mart";
  private static final int CLERKS = 4;
  private static final int CALLS_PER_CLERK = 60;
  private static final int KILL_AT = 40;
  private static final int MAX_SENDS = 40;

  private final TestCaller caller = new TestCaller();
  private final Map<String, String> outcomes = new ConcurrentHashMap<>();
  private final AtomicInteger finished = new AtomicInteger();
  private final AtomicInteger sends = new AtomicInteger();
  private TestCluster cluster;
  private SystemProbe probe;

  @BeforeEach
  void start() throws Exception {
    cluster = new TestCluster(5, 3);
    probe = new SystemProbe(cluster, caller);
    probe.startWithTeams();
    cluster.startService("ledger-1", "domain-3", "ledger");
    probe.awaitTargets(1);
  }

  @AfterEach
  void stop() throws Exception {
    System.out.print(cluster.errors());
    cluster.close();
  }

  /** Sends one posting until its outcome is definite, each time through the next instance. */
  private String postUntilDefinite(String key, int firstEntry) throws Exception {
    String last = "lost";
    for (int attempt = 0; attempt < MAX_SENDS; attempt++) {
      String entry = cluster.names().get((firstEntry + attempt) % cluster.names().size());
      sends.incrementAndGet();
      try {
        TestCaller.Answer answer =
            caller.post(cluster.address(entry), WORKSPACE, "posting", key, "{\"key\":\"x\"}");
        if (answer.status() == 200) {
          return "done";
        }
        last = answer.kind();
        if (last.equals("outcome_unknown")) {
          return last;
        }
      } catch (IOException e) {
        last = "lost";
      }
    }
    return last;
  }

  private Callable<Void> clerk(int number) {
    return () -> {
      for (int i = 0; i < CALLS_PER_CLERK; i++) {
        String key = System.currentTimeMillis() + "-clerk-" + number + "-call-" + i;
        outcomes.put(key, postUntilDefinite(key, number + i));
        finished.incrementAndGet();
      }
      return null;
    };
  }

  private void runWithKills(String... victims) throws Exception {
    ExecutorService clerks = Executors.newFixedThreadPool(CLERKS);
    List<Future<Void>> results = new ArrayList<>();
    for (int number = 0; number < CLERKS; number++) {
      results.add(clerks.submit(clerk(number)));
    }
    Wait.until("some calls", 60_000, () -> finished.get() >= KILL_AT);
    for (String victim : victims) {
      cluster.instance(victim).kill();
    }
    for (Future<Void> result : results) {
      result.get(200, TimeUnit.SECONDS);
    }
    clerks.shutdown();
  }

  private void checkTargetRecord(String what) throws Exception {
    JsonNode record = caller.get(cluster.standinAddress("ledger-1"), "/v1/record").body();
    int unknown = 0;
    int notRun = 0;
    for (Map.Entry<String, String> outcome : outcomes.entrySet()) {
      int runs = record.path(outcome.getKey()).asInt();
      assertTrue(runs <= 1, () -> outcome.getKey() + " ran " + runs + " times");
      switch (outcome.getValue()) {
        case "done" -> assertEquals(1, runs, outcome.getKey());
        case "not_run" -> {
          assertEquals(0, runs, outcome.getKey() + " was told not run");
          notRun++;
        }
        default -> unknown++;
      }
    }
    assertEquals(CLERKS * CALLS_PER_CLERK, outcomes.size());
    System.out.println(
        what
            + ": calls "
            + outcomes.size()
            + ", sends "
            + sends
            + ", ran "
            + record.size()
            + ", outcome unknown "
            + unknown
            + ", not run "
            + notRun
            + ", run twice 0");
  }

  @Nested
  class EntryAndLeaderDie {
    /** Guards against a second run of a call whose entry or key leader died. */
    @Test
    void eachKeyRunsAtMostOnce() throws Exception {
      String leader = probe.leader("entry-3", "keys-0").orElse("entry-1");
      runWithKills(leader, "entry-5");
      checkTargetRecord("killed " + leader + " and entry-5");
    }
  }

  @Nested
  class FailureDomainDies {
    /** Guards against key records that are lost with one failure domain. */
    @Test
    void eachKeyRunsAtMostOnce() throws Exception {
      runWithKills("entry-1", "entry-4");
      checkTargetRecord("killed failure domain domain-1");
    }
  }
}
