package dev.caroblb.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Demonstrates the main functions with real processes; exits with 0 only if every step passed. */
public final class Demo {
  private static final int INSTANCES = 5;
  private static final int REPLICAS = 3;
  private static final long START_TIMEOUT_MS = 60_000;
  private static final long DRAIN_TIMEOUT_MS = 60_000;
  private static final String RECEIPTS_WORKSPACE = "receipts-mart";
  private static final String STAFFING_WORKSPACE = "vikar-care";

  private final TestCluster cluster;
  private final TestCaller caller = new TestCaller();
  private final List<String> failures = new ArrayList<>();
  private int step;
  private int requests;
  private int complete;
  private int refused;
  private int lost;

  private Demo(TestCluster cluster) {
    this.cluster = cluster;
  }

  public static void main(String[] args) throws Exception {
    int exitCode;
    try (TestCluster cluster = new TestCluster(INSTANCES, REPLICAS)) {
      Demo demo = new Demo(cluster);
      exitCode = demo.run() ? 0 : 1;
    }
    System.exit(exitCode);
  }

  private boolean run() throws Exception {
    try {
      start();
      publish();
      String entry = discoverEntry();
      checkStream(entry, RECEIPTS_WORKSPACE, "reading", 40);
      checkStream(entry, RECEIPTS_WORKSPACE, "check", 3);
      checkIdempotentPosting();
      checkStream(entry, STAFFING_WORKSPACE, "sort", 3);
      checkDrainDuringStream();
    } catch (Exception e) {
      failures.add(e.toString());
      System.out.print(cluster.severeLogLines());
    }
    System.out.printf(
        "summary requests=%d complete=%d refused=%d lost=%d%n", requests, complete, refused, lost);
    failures.forEach(failure -> System.out.println("failed: " + failure));
    return failures.isEmpty() && lost == 0;
  }

  private void reportStep(boolean passed, String text) {
    step++;
    System.out.printf("step %d %s: %s%n", step, passed ? "ok" : "FAILED", text);
    if (!passed) {
      failures.add(text);
    }
  }

  private void start() throws Exception {
    long startedNanos = System.nanoTime();
    cluster.startAll();
    String first = cluster.address("entry-1");
    Wait.until(
        "entry-1 lists all instances",
        START_TIMEOUT_MS,
        () -> caller.get(first, "/v1/entries").body().path("entries").size() == INSTANCES);
    cluster.startEngine("reader-1", "domain-1", "reader+line-items@4");
    cluster.startEngine("planner-1", "domain-2", "plan-llm@2");
    cluster.startService("ledger-1", "domain-3", "ledger");
    cluster.startService("booking-1", "domain-1", "booking");
    reportStep(
        true,
        INSTANCES
            + " instances in 3 failure domains and 4 targets started in "
            + Wait.elapsedMs(startedNanos)
            + " ms");
  }

  private void publish() throws Exception {
    TestCaller.Response response =
        caller.publish(
            cluster.address("entry-5"),
            1,
            "demo",
            Repository.teamFile("receipts.toml"),
            Repository.teamFile("staffing.toml"));
    String outcome = response.body().path("outcome").asText();
    reportStep(outcome.equals("in_force"), "publish 1 of two team files: " + response.body());
    for (String name : cluster.names()) {
      Wait.until(
          name + " has the configuration and the targets", START_TIMEOUT_MS, () -> ready(name));
    }
  }

  private boolean ready(String name) throws Exception {
    JsonNode status = caller.get(cluster.address(name), "/v1/status").body();
    return status.path("configuration").asLong() == 1
        && status.path("admits").asBoolean()
        && status.path("targets").asInt() == 4;
  }

  private String discoverEntry() throws Exception {
    JsonNode body = caller.get(cluster.address("entry-2"), "/v1/entries").body();
    String entry = body.path("entries").path(0).path("address").asText();
    reportStep(
        !entry.isEmpty(),
        "use entry " + entry + ", cache the entries for " + body.path("keep_ms") + " ms");
    return entry;
  }

  private void checkStream(String entry, String workspace, String call, int tokens)
      throws Exception {
    requests++;
    TestCaller.StreamResult stream =
        caller.stream(
            entry, workspace, call, "tokens=" + tokens + " interval_ms=5", sequence -> {});
    boolean passed = stream.complete() && stream.tokens().size() == tokens;
    countOutcome(stream.status(), passed);
    reportStep(
        passed,
        call
            + " streamed "
            + stream.tokens().size()
            + " of "
            + tokens
            + " tokens "
            + stream.finalEvent().map(JsonNode::toString).orElse(stream.refusal().toString()));
  }

  private void countOutcome(int status, boolean wasComplete) {
    if (wasComplete) {
      complete++;
    } else if (status != 200) {
      refused++;
    } else {
      lost++;
    }
  }

  private void checkIdempotentPosting() throws Exception {
    String key = System.currentTimeMillis() + "-demo-posting-1";
    requests += 2;
    TestCaller.Response first =
        caller.postWithKey(
            cluster.address("entry-1"), RECEIPTS_WORKSPACE, "posting", key, "{\"amount\":12}");
    countOutcome(first.status(), first.status() == 200);
    reportStep(first.status() == 200, "posting returned " + first.status() + " " + first.body());
    TestCaller.Response second =
        caller.postWithKey(
            cluster.address("entry-4"), RECEIPTS_WORKSPACE, "posting", key, "{\"amount\":12}");
    countOutcome(second.status(), second.status() == 200);
    JsonNode record = caller.get(cluster.standinAddress("ledger-1"), "/v1/record").body();
    reportStep(
        second.body().equals(first.body()) && record.path(key).asInt() == 1,
        "same posting through another instance returned "
            + second.body()
            + ", the target ran it "
            + record.path(key)
            + " time(s)");
  }

  private void checkDrainDuringStream() throws Exception {
    String name = "entry-3";
    requests++;
    CountDownLatch started = new CountDownLatch(1);
    CompletableFuture<TestCaller.StreamResult> result =
        CompletableFuture.supplyAsync(() -> longStream(name, started));
    if (!started.await(START_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException("the plan did not start");
    }
    cluster.instance(name).terminate();
    TestCaller.StreamResult stream = result.get(DRAIN_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    OptionalInt exit = cluster.instance(name).awaitExit(DRAIN_TIMEOUT_MS);
    boolean passed = stream.complete() && exit.isPresent() && exit.getAsInt() == 0;
    countOutcome(stream.status(), stream.complete());
    reportStep(
        passed,
        name
            + " was stopped during a plan: "
            + stream.tokens().size()
            + " tokens, final event "
            + stream.finalEvent().map(event -> event.path("status").asText()).orElse("missing")
            + ", exit code "
            + exit);
  }

  private TestCaller.StreamResult longStream(String name, CountDownLatch started) {
    try {
      return caller.stream(
          cluster.address(name),
          STAFFING_WORKSPACE,
          "plan",
          "tokens=300 interval_ms=10",
          sequence -> started.countDown());
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
