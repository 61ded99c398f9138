package dev.caroblb.soak;

import com.fasterxml.jackson.databind.JsonNode;
import dev.caroblb.systemtests.TestCaller;
import dev.caroblb.systemtests.TestCluster;
import java.util.HashMap;
import java.util.Map;

/** What callers were told about their non-repeatable calls, compared with what the service ran. */
final class PostingRecord {
  static final String WORKSPACE = "receipts-mart";
  static final String BODY = "{\"key\":\"x\"}";

  /** Outcome that a caller knows for a call. */
  enum Outcome {
    DONE,
    NOT_RUN,
    UNKNOWN,
    /** The instance closed the connection without a response, although no fault had hit it. */
    UNANSWERED
  }

  private final Violations violations;
  private final Map<String, Outcome> outcomes = new HashMap<>();

  PostingRecord(Violations violations) {
    this.violations = violations;
  }

  void add(String key, Outcome outcome) {
    outcomes.put(key, outcome);
  }

  /** Compares the outcomes with the record of the service. */
  void verify(TestCluster cluster, String service) throws Exception {
    JsonNode runs = new TestCaller().get(cluster.standinAddress(service), "/v1/record").body();
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
    if (outcome == Outcome.UNANSWERED && runs != 0) {
      violations.add("a call that an instance has read is answered", key + " ran unanswered");
    }
  }

  long count(Outcome wanted) {
    return outcomes.values().stream().filter(outcome -> outcome == wanted).count();
  }
}
