package dev.caroblb.soak;

import com.fasterxml.jackson.databind.JsonNode;
import dev.caroblb.systemtests.TestCaller;
import dev.caroblb.systemtests.TestCluster;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;

/**
 * Makes non-repeatable calls and sends each one until it succeeds, at most {@link #MAX_SENDS}
 * times.
 */
final class PostingCaller implements Workload {
  private static final String WORKSPACE = "receipts-mart";
  private static final int MAX_SENDS = 12;
  private static final int OK = 200;

  private enum Outcome {
    DONE,
    NOT_RUN,
    UNKNOWN
  }

  private final TestCluster cluster;
  private final String service;
  private final TestCaller caller = new TestCaller();
  private final Violations violations;
  private final Random random;
  private final Map<String, Outcome> outcomes = new HashMap<>();

  PostingCaller(TestCluster cluster, String service, Violations violations, Random random) {
    this.cluster = cluster;
    this.service = service;
    this.violations = violations;
    this.random = random;
  }

  @Override
  public boolean runOnce() throws Exception {
    String key = System.currentTimeMillis() + "-soak-" + random.nextInt(1 << 30);
    Outcome outcome = post(key);
    outcomes.put(key, outcome);
    return outcome == Outcome.DONE;
  }

  private Outcome post(String key) throws Exception {
    // A send without a definite response may have run, whatever the response to a later send.
    boolean uncertain = false;
    for (int i = 0; i < MAX_SENDS; i++) {
      String instance = cluster.names().get(random.nextInt(cluster.names().size()));
      try {
        TestCaller.Response response =
            caller.postWithKey(
                cluster.address(instance), WORKSPACE, "posting", key, "{\"key\":\"x\"}");
        if (response.status() == OK) {
          return Outcome.DONE;
        }
        uncertain |= !response.kind().equals("not_run");
      } catch (IOException e) {
        uncertain = true;
      }
    }
    return uncertain ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  @Override
  public void verifyFinalState() throws Exception {
    JsonNode runs = caller.get(cluster.standinAddress(service), "/v1/record").body();
    outcomes.forEach((key, outcome) -> check(key, outcome, runs.path(key).asInt()));
  }

  private void check(String key, Outcome outcome, int runs) {
    if (runs > 1) {
      violations.add("a non-repeatable call runs at most once", key + " ran " + runs + " times");
    }
    if (outcome == Outcome.DONE && runs != 1) {
      violations.add("a successful call ran exactly once", key + " ran " + runs + " times");
    }
    if (outcome == Outcome.NOT_RUN && runs != 0) {
      violations.add("a call refused as not_run did not run", key + " ran " + runs + " times");
    }
  }

  @Override
  public Map<String, Long> counts() {
    return Map.of(
        "posts_done",
        count(Outcome.DONE),
        "posts_not_run",
        count(Outcome.NOT_RUN),
        "posts_unknown",
        count(Outcome.UNKNOWN));
  }

  private long count(Outcome wanted) {
    return outcomes.values().stream().filter(outcome -> outcome == wanted).count();
  }
}
