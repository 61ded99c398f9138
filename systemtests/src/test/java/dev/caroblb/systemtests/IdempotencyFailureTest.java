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

/** Non-repeatable calls that callers resend while instances are killed. */
@Timeout(value = 300, unit = TimeUnit.SECONDS)
class IdempotencyFailureTest {
  private static final String WORKSPACE = "receipts-mart";
  private static final int CALLERS = 4;
  private static final int CALLS_PER_CALLER = 60;
  private static final int CALLS_BEFORE_KILL = 40;
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
    probe.startWithTeamFiles();
    cluster.startService("ledger-1", "domain-3", "ledger");
    probe.awaitTargets(1);
  }

  @AfterEach
  void stop() throws Exception {
    System.out.print(cluster.severeLogLines());
    cluster.close();
  }

  /**
   * Sends one posting until it succeeds or its outcome is reported as unknown, at most {@link
   * #MAX_SENDS} times and each time to the next instance. Returns the last outcome.
   */
  private String postWithRetries(String key, int firstEntry) throws Exception {
    String lastOutcome = "lost";
    for (int attempt = 0; attempt < MAX_SENDS; attempt++) {
      String entry = cluster.names().get((firstEntry + attempt) % cluster.names().size());
      sends.incrementAndGet();
      try {
        TestCaller.Response response =
            caller.postWithKey(
                cluster.address(entry), WORKSPACE, "posting", key, "{\"key\":\"x\"}");
        if (response.status() == 200) {
          return "done";
        }
        lastOutcome = response.kind();
        if (lastOutcome.equals("outcome_unknown")) {
          return lastOutcome;
        }
      } catch (IOException e) {
        lastOutcome = "lost";
      }
    }
    return lastOutcome;
  }

  private Callable<Void> callerTask(int number) {
    return () -> {
      for (int i = 0; i < CALLS_PER_CALLER; i++) {
        String key = System.currentTimeMillis() + "-clerk-" + number + "-call-" + i;
        outcomes.put(key, postWithRetries(key, number + i));
        finished.incrementAndGet();
      }
      return null;
    };
  }

  private void postWhileKilling(String... victims) throws Exception {
    ExecutorService executor = Executors.newFixedThreadPool(CALLERS);
    List<Future<Void>> results = new ArrayList<>();
    for (int number = 0; number < CALLERS; number++) {
      results.add(executor.submit(callerTask(number)));
    }
    Wait.until("the first calls end", 60_000, () -> finished.get() >= CALLS_BEFORE_KILL);
    for (String victim : victims) {
      cluster.instance(victim).kill();
    }
    for (Future<Void> result : results) {
      result.get(200, TimeUnit.SECONDS);
    }
    executor.shutdown();
  }

  private void checkTargetRecord(String scenario) throws Exception {
    JsonNode record = caller.get(cluster.standinAddress("ledger-1"), "/v1/record").body();
    int unknown = 0;
    int notRun = 0;
    for (Map.Entry<String, String> outcome : outcomes.entrySet()) {
      int runs = record.path(outcome.getKey()).asInt();
      assertTrue(runs <= 1, () -> outcome.getKey() + " ran " + runs + " times");
      switch (outcome.getValue()) {
        case "done" -> assertEquals(1, runs, outcome.getKey());
        case "not_run" -> {
          assertEquals(0, runs, outcome.getKey() + " was reported as not run");
          notRun++;
        }
        default -> unknown++;
      }
    }
    assertEquals(CALLERS * CALLS_PER_CALLER, outcomes.size());
    System.out.println(
        scenario
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
    /** Guards against a call that runs twice because its entry or the leader of its key died. */
    @Test
    void eachKeyRunsAtMostOnce() throws Exception {
      String leader = probe.leader("entry-3", "keys-0").orElse("entry-1");
      postWhileKilling(leader, "entry-5");
      checkTargetRecord("killed " + leader + " and entry-5");
    }
  }

  @Nested
  class FailureDomainDies {
    /** Guards against the loss of idempotency keys when one failure domain fails. */
    @Test
    void eachKeyRunsAtMostOnce() throws Exception {
      postWhileKilling("entry-1", "entry-4");
      checkTargetRecord("killed failure domain domain-1");
    }
  }
}
