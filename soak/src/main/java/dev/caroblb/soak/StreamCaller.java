package dev.caroblb.soak;

import dev.caroblb.systemtests.TestCaller;
import dev.caroblb.systemtests.TestCluster;
import java.io.IOException;
import java.util.Map;
import java.util.Random;

/** Reads streams and goes on at another instance when one breaks off. */
final class StreamCaller implements Workload {
  private static final String WORKSPACE = "vikar-care";
  private static final String PROMPT = "tokens=40 interval_ms=10";
  private static final int MAX_RESUMES = 10;
  private static final int OK = 200;

  private final TestCluster cluster;
  private final TestCaller caller = new TestCaller();
  private final Violations violations;
  private final Random random;
  private long complete;
  private long resumed;
  private long ended;

  StreamCaller(TestCluster cluster, Violations violations, Random random) {
    this.cluster = cluster;
    this.violations = violations;
    this.random = random;
  }

  private String anyAddress() {
    return cluster.address(cluster.names().get(random.nextInt(cluster.names().size())));
  }

  @Override
  public boolean once() throws Exception {
    long before = complete;
    try {
      follow(caller.stream(anyAddress(), WORKSPACE, "plan", PROMPT, sequence -> {}));
    } catch (IOException e) {
      ended++;
    } catch (IllegalStateException e) {
      violations.add("tokens arrive once, in order, of one generation", e.getMessage());
    }
    return complete > before;
  }

  private void follow(TestCaller.Stream first) throws Exception {
    if (first.status() != OK || first.tokens().isEmpty()) {
      ended++;
      return;
    }
    TestCaller.Stream part = first;
    long last = first.lastSequence();
    for (int i = 0; i < MAX_RESUMES && part.finalEvent().isEmpty(); i++) {
      part = resume(first.generation(), last);
      if (!part.tokens().isEmpty()) {
        check(first.generation(), last, part);
        last = part.lastSequence();
      }
    }
    if (part.complete()) {
      complete++;
    } else {
      ended++;
    }
  }

  private TestCaller.Stream resume(String generation, long after) throws Exception {
    resumed++;
    try {
      return caller.resume(anyAddress(), WORKSPACE, generation, after);
    } catch (IOException e) {
      return TestCaller.Stream.none();
    }
  }

  private void check(String generation, long last, TestCaller.Stream part) {
    if (!part.generation().equals(generation) || part.firstSequence() != last + 1) {
      violations.add(
          "a resumed stream goes on after its last token",
          generation
              + " after "
              + last
              + " went on with "
              + part.generation()
              + " at "
              + part.firstSequence());
    }
  }

  @Override
  public void finish() {}

  @Override
  public Map<String, Long> counts() {
    return Map.of("streams_complete", complete, "resumes", resumed, "streams_ended", ended);
  }
}
