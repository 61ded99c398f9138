package dev.caroblb.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Shows the main job end to end with real processes; exits with 0 only when every step held. */
public final class Demo {
  private static final int INSTANCES = 5;
  private static final int REPLICAS = 3;
  private static final long START_MS = 60_000;
  private static final long DRAIN_MS = 60_000;
  private static final String CLERK = "receipts-mart";
  private static final String PLANNER = "vikar-care";

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
      String entry = locate();
      stream(entry, CLERK, "reading", 40);
      stream(entry, CLERK, "check", 3);
      post();
      stream(entry, PLANNER, "sort", 3);
      stopWhileStreaming();
    } catch (Exception e) {
      failures.add(e.toString());
      System.out.print(cluster.errors());
    }
    System.out.printf(
        "summary requests=%d complete=%d refused=%d lost=%d%n", requests, complete, refused, lost);
    failures.forEach(failure -> System.out.println("failed: " + failure));
    return failures.isEmpty() && lost == 0;
  }

  private void report(boolean held, String text) {
    step++;
    System.out.printf("step %d %s: %s%n", step, held ? "ok" : "FAILED", text);
    if (!held) {
      failures.add(text);
    }
  }

  private void start() throws Exception {
    long startedNanos = System.nanoTime();
    cluster.startAll();
    String first = cluster.address("entry-1");
    Wait.until(
        "all instances see each other",
        START_MS,
        () -> caller.get(first, "/v1/entries").body().path("entries").size() == INSTANCES);
    cluster.startEngine("reader-1", "domain-1", "reader+line-items@4");
    cluster.startEngine("planner-1", "domain-2", "plan-llm@2");
    cluster.startService("ledger-1", "domain-3", "ledger");
    cluster.startService("booking-1", "domain-1", "booking");
    report(
        true,
        INSTANCES
            + " instances in 3 failure domains and 4 targets run after "
            + Wait.elapsedMs(startedNanos)
            + " ms");
  }

  private void publish() throws Exception {
    TestCaller.Answer answer =
        caller.publish(
            cluster.address("entry-5"),
            1,
            "demo",
            Repository.teamFile("receipts.toml"),
            Repository.teamFile("staffing.toml"));
    String outcome = answer.body().path("outcome").asText();
    report(outcome.equals("in_force"), "publish 1 of two team files: " + answer.body());
    for (String name : cluster.names()) {
      Wait.until(name + " has the configuration and the targets", START_MS, () -> ready(name));
    }
  }

  private boolean ready(String name) throws Exception {
    JsonNode status = caller.get(cluster.address(name), "/v1/status").body();
    return status.path("configuration").asLong() == 1
        && status.path("admits").asBoolean()
        && status.path("targets").asInt() == 4;
  }

  private String locate() throws Exception {
    JsonNode body = caller.get(cluster.address("entry-2"), "/v1/entries").body();
    String entry = body.path("entries").path(0).path("address").asText();
    report(
        !entry.isEmpty(),
        "use entry " + entry + ", keep the answer " + body.path("keep_ms") + " ms");
    return entry;
  }

  private void stream(String entry, String workspace, String call, int tokens) throws Exception {
    requests++;
    TestCaller.Stream stream =
        caller.stream(
            entry, workspace, call, "tokens=" + tokens + " interval_ms=5", sequence -> {});
    boolean held = stream.complete() && stream.tokens().size() == tokens;
    count(stream.status(), held);
    report(
        held,
        call
            + " streamed "
            + stream.tokens().size()
            + " of "
            + tokens
            + " tokens "
            + stream.finalEvent().map(JsonNode::toString).orElse(stream.refusal().toString()));
  }

  private void count(int status, boolean wasComplete) {
    if (wasComplete) {
      complete++;
    } else if (status != 200) {
      refused++;
    } else {
      lost++;
    }
  }

  private void post() throws Exception {
    String key = System.currentTimeMillis() + "-demo-posting-1";
    requests += 2;
    TestCaller.Answer first =
        caller.post(cluster.address("entry-1"), CLERK, "posting", key, "{\"amount\":12}");
    count(first.status(), first.status() == 200);
    report(first.status() == 200, "posting answered " + first.status() + " " + first.body());
    TestCaller.Answer second =
        caller.post(cluster.address("entry-4"), CLERK, "posting", key, "{\"amount\":12}");
    count(second.status(), second.status() == 200);
    JsonNode record = caller.get(cluster.standinAddress("ledger-1"), "/v1/record").body();
    report(
        second.body().equals(first.body()) && record.path(key).asInt() == 1,
        "same posting through another instance answered "
            + second.body()
            + ", the target ran it "
            + record.path(key)
            + " time(s)");
  }

  private void stopWhileStreaming() throws Exception {
    String name = "entry-3";
    requests++;
    CountDownLatch running = new CountDownLatch(1);
    CompletableFuture<TestCaller.Stream> result =
        CompletableFuture.supplyAsync(() -> longStream(name, running));
    if (!running.await(START_MS, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException("the plan did not start");
    }
    cluster.instance(name).terminate();
    TestCaller.Stream stream = result.get(DRAIN_MS, TimeUnit.MILLISECONDS);
    OptionalInt exit = cluster.instance(name).awaitExit(DRAIN_MS);
    boolean held = stream.complete() && exit.isPresent() && exit.getAsInt() == 0;
    count(stream.status(), stream.complete());
    report(
        held,
        name
            + " was asked to stop during a plan: "
            + stream.tokens().size()
            + " tokens, final event "
            + stream.finalEvent().map(event -> event.path("status").asText()).orElse("missing")
            + ", exit code "
            + exit);
  }

  private TestCaller.Stream longStream(String name, CountDownLatch running) {
    try {
      return caller.stream(
          cluster.address(name),
          PLANNER,
          "plan",
          "tokens=300 interval_ms=10",
          sequence -> running.countDown());
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }
}
