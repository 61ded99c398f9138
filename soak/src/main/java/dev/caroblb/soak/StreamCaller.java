package dev.caroblb.soak;

import dev.caroblb.systemtests.TestCaller;
import dev.caroblb.systemtests.TestCluster;
import java.io.IOException;
import java.util.Map;
import java.util.Random;

/** Reads streams and resumes an interrupted stream at a random instance. */
final class StreamCaller implements Workload {
  private static final String WORKSPACE = "vikar-care";
  private static final String PROMPT = "tokens=40 interval_ms=10";
  private static final int MAX_RESUMES = 10;
  private static final int OK = 200;

  private final TestCluster cluster;
  private final TestCaller caller = new TestCaller();
  private final Violations violations;
  private final Random random;
  private long completeCount;
  private long resumeCount;
  private long incompleteCount;

  StreamCaller(TestCluster cluster, Violations violations, Random random) {
    this.cluster = cluster;
    this.violations = violations;
    this.random = random;
  }

  private String randomAddress() {
    return cluster.address(cluster.names().get(random.nextInt(cluster.names().size())));
  }

  @Override
  public boolean runOnce() throws Exception {
    long countBefore = completeCount;
    try {
      readToEnd(caller.stream(randomAddress(), WORKSPACE, "plan", PROMPT, sequence -> {}));
    } catch (IOException e) {
      incompleteCount++;
    } catch (IllegalStateException e) {
      violations.add(
          "a stream has the tokens of one generation, each once and in order", e.getMessage());
    }
    return completeCount > countBefore;
  }

  private void readToEnd(TestCaller.StreamResult first) throws Exception {
    if (first.status() != OK || first.tokens().isEmpty()) {
      incompleteCount++;
      return;
    }
    TestCaller.StreamResult part = first;
    long lastSequence = first.lastSequence();
    for (int i = 0; i < MAX_RESUMES && part.finalEvent().isEmpty(); i++) {
      part = resume(first.generation(), lastSequence);
      if (!part.tokens().isEmpty()) {
        checkContinuation(first.generation(), lastSequence, part);
        lastSequence = part.lastSequence();
      }
    }
    if (part.complete()) {
      completeCount++;
    } else {
      incompleteCount++;
    }
  }

  private TestCaller.StreamResult resume(String generation, long lastSequence) throws Exception {
    resumeCount++;
    try {
      return caller.resume(randomAddress(), WORKSPACE, generation, lastSequence);
    } catch (IOException e) {
      return TestCaller.StreamResult.unreachable();
    }
  }

  private void checkContinuation(
      String generation, long lastSequence, TestCaller.StreamResult part) {
    if (!part.generation().equals(generation) || part.firstSequence() != lastSequence + 1) {
      violations.add(
          "a resumed stream continues after the last received token",
          generation
              + " after "
              + lastSequence
              + " continued with "
              + part.generation()
              + " at "
              + part.firstSequence());
    }
  }

  @Override
  public void verifyFinalState() {}

  @Override
  public Map<String, Long> counts() {
    return Map.of(
        "streams_complete",
        completeCount,
        "resumes",
        resumeCount,
        "streams_ended",
        incompleteCount);
  }
}
