package dev.caroblb.systemtests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Planned stops of instances and targets under load. */
@Timeout(value = 400, unit = TimeUnit.SECONDS)
class PlannedStopTest {
  private static final String WORKSPACE = "vikar-care";
  private static final String PROMPT = "tokens=60 interval_ms=10";
  private static final int CALLERS = 6;

  /** Specified bound on the time from the leave notice of a target to its last new work. */
  private static final long LAST_WORK_BOUND_MS = 4_000;

  private static final TestCaller CALLER = new TestCaller();
  private static TestCluster cluster;
  private static SystemProbe probe;

  private final AtomicBoolean stop = new AtomicBoolean();
  private final AtomicInteger complete = new AtomicInteger();
  private final AtomicInteger cutOff = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger refusedConnections = new AtomicInteger();

  @BeforeAll
  static void start() throws Exception {
    cluster = new TestCluster(4, 3);
    probe = new SystemProbe(cluster, CALLER);
    probe.startWithTeamFiles();
    cluster.startEngine("planner-1", "domain-1", "plan-llm@2");
    cluster.startEngine("planner-2", "domain-2", "plan-llm@2");
    probe.awaitTargets(2);
  }

  @AfterAll
  static void stopAll() throws Exception {
    System.out.print(cluster.severeLogLines());
    cluster.close();
  }

  /** Calls in a loop, and looks up the entry address again whenever the cached one expires. */
  private Callable<Void> callerTask(int number) {
    return () -> {
      String address = cluster.address(cluster.names().get(number % 4));
      long cacheUntilNanos = 0;
      while (!stop.get()) {
        if (System.nanoTime() >= cacheUntilNanos) {
          JsonNode response = fetchEntries(address);
          JsonNode entries = response.path("entries");
          address = entries.path(number % entries.size()).path("address").asText();
          cacheUntilNanos =
              System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(response.path("keep_ms").asLong());
        }
        call(address);
      }
      return null;
    };
  }

  private static JsonNode fetchEntries(String preferredAddress) throws Exception {
    IOException lastFailure = null;
    for (String address : addressesWithFirst(preferredAddress)) {
      try {
        return CALLER.get(address, "/v1/entries").body();
      } catch (IOException e) {
        lastFailure = e;
      }
    }
    throw new IOException("no entry answered", lastFailure);
  }

  private static List<String> addressesWithFirst(String first) {
    List<String> addresses = new ArrayList<>(cluster.addresses());
    addresses.remove(first);
    addresses.add(0, first);
    return addresses;
  }

  private void call(String address) throws InterruptedException {
    try {
      TestCaller.StreamResult stream =
          CALLER.stream(address, WORKSPACE, "plan", PROMPT, sequence -> {});
      if (stream.complete()) {
        complete.incrementAndGet();
      } else if (stream.status() == 200) {
        cutOff.incrementAndGet();
      } else {
        refused.incrementAndGet();
        System.out.println("refused: " + stream.refusal());
      }
    } catch (IOException e) {
      refusedConnections.incrementAndGet();
      System.out.println("refused connection: " + e);
    }
  }

  private List<Future<Void>> startCallers(ExecutorService executor) {
    List<Future<Void>> callers = new ArrayList<>();
    for (int i = 0; i < CALLERS; i++) {
      callers.add(executor.submit(callerTask(i)));
    }
    return callers;
  }

  @Nested
  class InstancesInTurn {
    private static final long TIMEOUT_MS = 60_000;

    /**
     * Guards against a planned stop that interrupts calls, and against an instance that stops
     * accepting calls while callers may still cache its address.
     */
    @Test
    void everyCallCompletes() throws Exception {
      ExecutorService executor = Executors.newFixedThreadPool(CALLERS);
      List<Future<Void>> callers = startCallers(executor);
      for (String name : cluster.names()) {
        int before = complete.get();
        Wait.until("calls complete", TIMEOUT_MS, () -> complete.get() > before + CALLERS);
        cluster.instance(name).terminate();
        int exit = cluster.instance(name).awaitExit(TIMEOUT_MS).orElse(-1);
        assertEquals(0, exit, name);
        cluster.start(name);
        probe.awaitConfiguration(1);
      }
      stop.set(true);
      for (Future<Void> caller : callers) {
        caller.get(60, TimeUnit.SECONDS);
      }
      executor.shutdown();
      System.out.println(
          "restart of "
              + cluster.names().size()
              + " instances in turn: complete "
              + complete
              + ", cut "
              + cutOff
              + ", refused "
              + refused
              + ", refused connections "
              + refusedConnections);
      assertEquals(0, cutOff.get(), "cut");
      assertEquals(0, refusedConnections.get(), "refused connections");
      assertEquals(0, refused.get(), "refused");
    }
  }

  @Nested
  class LeaderRestarts {
    private static final long TIMEOUT_MS = 60_000;
    private static final int ROUNDS = 2;

    /**
     * Guards against callers that are directed to an instance which has started again and refuses
     * their calls because it holds no configuration lease yet. It gets none before the replicas
     * have elected another leader.
     */
    @Test
    void isListedOnlyOnceItAdmitsCalls() throws Exception {
      for (int i = 0; i < ROUNDS; i++) {
        String leader = awaitLeader();
        String observer = cluster.address(nameOtherThan(leader));
        cluster.instance(leader).terminate();
        Wait.until(leader + " is not listed", TIMEOUT_MS, () -> !lists(observer, leader));
        assertEquals(0, cluster.instance(leader).awaitExit(TIMEOUT_MS).orElse(-1), leader);
        cluster.start(leader);
        Wait.until(leader + " is listed", TIMEOUT_MS, () -> lists(observer, leader));
        assertTrue(probe.status(leader).path("admits").asBoolean(), leader + " admits calls");
      }
    }

    private String awaitLeader() throws Exception {
      AtomicReference<String> leader = new AtomicReference<>("");
      Wait.until(
          "the control group has a leader",
          TIMEOUT_MS,
          () -> {
            leader.set(probe.leader(cluster.names().get(0), "control").orElse(""));
            return !leader.get().isEmpty() && probe.status(leader.get()).path("admits").asBoolean();
          });
      return leader.get();
    }

    private String nameOtherThan(String name) {
      return cluster.names().stream()
          .filter(other -> !other.equals(name))
          .findFirst()
          .orElseThrow();
    }

    private boolean lists(String observer, String name) throws Exception {
      return CALLER
          .get(observer, "/v1/entries")
          .body()
          .path("entries")
          .findValuesAsText("instance")
          .contains(name);
    }
  }

  @Nested
  class TargetLeaves {
    /** Guards against new work that a target gets later than the bound after its leave notice. */
    @Test
    void getsNoNewWorkAfterTheBound() throws Exception {
      ExecutorService executor = Executors.newFixedThreadPool(CALLERS);
      List<Future<Void>> callers = startCallers(executor);
      String target = cluster.startEngine("planner-3", "domain-3", "plan-llm@2");
      Wait.until("planner-3 gets work", 60_000, () -> started(target) > 2);
      CALLER.postEmpty(target, "/v1/leave");
      long noticeNanos = System.nanoTime();
      Wait.until(
          "twice the bound has passed",
          60_000,
          () -> Wait.elapsedMs(noticeNanos) > 2 * LAST_WORK_BOUND_MS);
      JsonNode state = CALLER.get(target, "/v1/state").body();
      long lastWorkMs = Wait.elapsedMs(noticeNanos) - state.path("last_start_age_ms").asLong();
      stop.set(true);
      for (Future<Void> caller : callers) {
        caller.get(60, TimeUnit.SECONDS);
      }
      executor.shutdown();
      System.out.println(
          "target left: last new work "
              + lastWorkMs
              + " ms after the leave notice, calls complete "
              + complete
              + ", cut "
              + cutOff);
      assertTrue(lastWorkMs <= LAST_WORK_BOUND_MS, () -> "new work after " + lastWorkMs + " ms");
      assertEquals(0, cutOff.get(), "cut");
    }

    private long started(String target) throws Exception {
      return CALLER.get(target, "/v1/state").body().path("started").asLong();
    }
  }
}
