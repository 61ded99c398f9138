package dev.caroblb.systemtests;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Publishes while leaders are killed, disks are lost and operators compete. */
@Timeout(value = 400, unit = TimeUnit.SECONDS)
class PublishFailureTest {
  /** Specified bound on the time from a publish until it is in force on all instances. */
  private static final long IN_FORCE_BOUND_MS = 9_000;

  private static final long CONTROL_RECOVERY_TIMEOUT_MS = 60_000;

  private final TestCaller caller = new TestCaller();
  private TestCluster cluster;
  private SystemProbe probe;

  @BeforeEach
  void start() throws Exception {
    cluster = new TestCluster(4, 3);
    probe = new SystemProbe(cluster, caller);
    probe.startWithTeamFiles();
  }

  @AfterEach
  void stop() throws Exception {
    System.out.print(cluster.severeLogLines());
    cluster.close();
  }

  /** Publishes until the outcome is definite, each time through the next instance. */
  private String publish(long number, String request, int share, int firstEntry) throws Exception {
    int attempt = 0;
    while (true) {
      String entry = cluster.names().get((firstEntry + attempt) % cluster.names().size());
      attempt++;
      assertTrue(attempt < 200, () -> "no definite outcome of publish " + number);
      try {
        String outcome =
            caller
                .publish(
                    cluster.address(entry), number, request, SystemProbe.receiptsWithShare(share))
                .body()
                .path("outcome")
                .asText();
        if (List.of("in_force", "accepted", "conflict", "outdated").contains(outcome)) {
          return outcome;
        }
      } catch (IOException e) {
        // The response is lost; send the same publish through the next instance.
      }
    }
  }

  @Nested
  class OperatorsRace {
    private static final int LAST_NUMBER = 16;
    private static final int KILL_AT_NUMBER = 6;

    /** Guards against two accepted publishes of one number, and a lost or reverted publish. */
    @Test
    void oneContentWinsEachNumberWhileTheLeaderIsKilled() throws Exception {
      Map<Long, AtomicInteger> winners = new ConcurrentHashMap<>();
      ExecutorService operators = Executors.newFixedThreadPool(2);
      Future<Integer> operatorA = operators.submit(operator("a", 10, 0, winners));
      Future<Integer> operatorB = operators.submit(operator("b", 40, 2, winners));
      Wait.until(
          "publish " + KILL_AT_NUMBER,
          CONTROL_RECOVERY_TIMEOUT_MS,
          () -> winners.containsKey((long) KILL_AT_NUMBER));
      Optional<String> leader = probe.leader("entry-2", "control");
      String killed = leader.orElse("entry-1");
      cluster.instance(killed).kill();
      int acceptedA = operatorA.get(300, TimeUnit.SECONDS);
      int acceptedB = operatorB.get(300, TimeUnit.SECONDS);
      operators.shutdown();
      for (long number = 2; number <= LAST_NUMBER; number++) {
        assertEquals(1, winners.get(number).get(), "winners of publish " + number);
      }
      cluster.start(killed);
      probe.awaitConfiguration(LAST_NUMBER);
      System.out.println(
          "publishes sent by two operators: "
              + 2 * (LAST_NUMBER - 1)
              + ", accepted a="
              + acceptedA
              + " b="
              + acceptedB
              + ", killed leader "
              + killed
              + ", lost 0, reverted 0");
    }

    private Callable<Integer> operator(
        String request, int firstShare, int firstEntry, Map<Long, AtomicInteger> winners) {
      return () -> {
        int accepted = 0;
        for (long number = 2; number <= LAST_NUMBER; number++) {
          String outcome = publish(number, request, firstShare + (int) number, firstEntry);
          boolean won = outcome.equals("in_force") || outcome.equals("accepted");
          accepted += won ? 1 : 0;
          winners.computeIfAbsent(number, key -> new AtomicInteger()).addAndGet(won ? 1 : 0);
        }
        return accepted;
      };
    }
  }

  @Nested
  class DisksAreLost {
    /** Guards against a replica with an empty disk that votes as if it still had its data. */
    @Test
    void acceptedPublishesSurviveTwoDiskReplacements() throws Exception {
      for (int number = 2; number <= 6; number++) {
        publish(number, "before", 20 + number, 0);
      }
      long firstMs = replaceDisk("entry-1");
      long secondMs = replaceDisk("entry-2");
      probe.awaitConfiguration(6);
      String outcome = publish(7, "after", 50, 0);
      assertEquals("in_force", outcome);
      probe.awaitConfiguration(7);
      System.out.println(
          "disks lost 2, replaced after "
              + firstMs
              + " ms and "
              + secondMs
              + " ms, accepted 7, lost 0");
    }

    /** Kills an instance, restarts it with an empty disk and waits until it is a member again. */
    private long replaceDisk(String name) throws Exception {
      cluster.instance(name).kill();
      cluster.deleteData(name);
      cluster.start(name);
      String observer = "entry-3";
      return Wait.until(
          name + " is a member again",
          CONTROL_RECOVERY_TIMEOUT_MS,
          () ->
              probe
                      .group(name, "control")
                      .filter(group -> group.path("committed").asLong() > 0)
                      .filter(group -> group.path("members").size() == 3)
                      .isPresent()
                  && probe
                      .group(observer, "control")
                      .filter(group -> group.path("members").size() == 3)
                      .isPresent());
    }
  }

  @Nested
  class EverythingRestarts {
    private static final int PUBLISHES = 300;
    private static final long INTERVAL_MS = 40;

    /** Guards against a configuration that is lost or reverted when all processes restart. */
    @Test
    void theLastAcceptedNumberIsInForceAgain() throws Exception {
      ScheduledExecutorService operator = Executors.newScheduledThreadPool(64);
      List<Future<String>> outcomes = new ArrayList<>();
      for (int i = 0; i < PUBLISHES; i++) {
        int number = 2 + i;
        outcomes.add(
            operator.schedule(
                () -> publish(number, "history", 1 + number % 99, 0),
                (long) i * INTERVAL_MS,
                TimeUnit.MILLISECONDS));
      }
      long last = 1;
      int accepted = 0;
      for (int i = 0; i < PUBLISHES; i++) {
        String outcome = outcomes.get(i).get(200, TimeUnit.SECONDS);
        if (outcome.equals("in_force") || outcome.equals("accepted")) {
          accepted++;
          last = 2L + i;
        }
      }
      operator.shutdown();
      for (String name : cluster.names()) {
        cluster.instance(name).kill();
      }
      long startedNanos = System.nanoTime();
      cluster.startAll();
      probe.awaitConfiguration(last);
      System.out.println(
          "restart of all instances after "
              + accepted
              + " accepted publishes: number "
              + last
              + " in force again after "
              + Wait.elapsedMs(startedNanos)
              + " ms");
      assertTrue(accepted >= 200, "only " + accepted + " publishes were accepted");
    }
  }

  @Nested
  class InForceReport {
    /** Guards against an instance that admits under an old number after "in_force" is reported. */
    @Test
    void inForceIsReportedWithinTheBoundAndHoldsEverywhere() throws Exception {
      long startedNanos = System.nanoTime();
      assertEquals("in_force", publish(2, "timed", 33, 3));
      long reportedMs = Wait.elapsedMs(startedNanos);
      for (String name : cluster.names()) {
        JsonNode status = probe.status(name);
        assertTrue(
            status.path("configuration").asLong() >= 2 || !status.path("admits").asBoolean(),
            () -> name + " admits under an older number: " + status);
      }
      assertTrue(
          reportedMs <= IN_FORCE_BOUND_MS,
          () -> "in force was reported after " + reportedMs + " ms");
      System.out.println(
          "publish in force on "
              + cluster.names().size()
              + " instances after "
              + reportedMs
              + " ms");
    }

    /**
     * Guards against a frozen instance that blocks a publish for longer than its lease, or that
     * admits calls under the old configuration after it resumes.
     */
    @Test
    void aFrozenEntryDelaysInForceOnlyByItsLease() throws Exception {
      cluster.instance("entry-4").freeze();
      long startedNanos = System.nanoTime();
      assertEquals("in_force", publish(2, "frozen", 44, 0));
      long reportedMs = Wait.elapsedMs(startedNanos);
      cluster.instance("entry-4").resume();
      assertTrue(
          reportedMs <= IN_FORCE_BOUND_MS,
          () -> "in force was reported after " + reportedMs + " ms");
      probe.awaitConfiguration(2);
      System.out.println("publish in force after " + reportedMs + " ms with one instance frozen");
    }
  }
}
