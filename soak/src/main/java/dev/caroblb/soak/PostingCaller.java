package dev.caroblb.soak;

import dev.caroblb.systemtests.TestCaller;
import dev.caroblb.systemtests.TestCluster;
import java.io.IOException;
import java.util.Map;
import java.util.Random;

/**
 * Makes non-repeatable calls and sends each one until it succeeds, at most {@link #MAX_SENDS}
 * times.
 */
final class PostingCaller implements Workload {
  private static final int MAX_SENDS = 12;
  private static final int OK = 200;

  private final TestCluster cluster;
  private final String service;
  private final TestCaller caller = new TestCaller();
  private final PostingRecord record;
  private final Random random;

  PostingCaller(TestCluster cluster, String service, Violations violations, Random random) {
    this.cluster = cluster;
    this.service = service;
    this.record = new PostingRecord(violations);
    this.random = random;
  }

  @Override
  public boolean runOnce() throws Exception {
    String key = System.currentTimeMillis() + "-soak-" + random.nextInt(1 << 30);
    PostingRecord.Outcome outcome = post(key);
    record.add(key, outcome);
    return outcome == PostingRecord.Outcome.DONE;
  }

  private PostingRecord.Outcome post(String key) throws Exception {
    // A send without a definite response may have run, whatever the response to a later send.
    boolean uncertain = false;
    for (int i = 0; i < MAX_SENDS; i++) {
      String instance = cluster.names().get(random.nextInt(cluster.names().size()));
      try {
        TestCaller.Response response =
            caller.postWithKey(
                cluster.address(instance),
                PostingRecord.WORKSPACE,
                "posting",
                key,
                PostingRecord.BODY);
        if (response.status() == OK) {
          return PostingRecord.Outcome.DONE;
        }
        uncertain |= !response.kind().equals("not_run");
      } catch (IOException e) {
        uncertain = true;
      }
    }
    return uncertain ? PostingRecord.Outcome.UNKNOWN : PostingRecord.Outcome.NOT_RUN;
  }

  @Override
  public void verifyFinalState() throws Exception {
    record.verify(cluster, service);
  }

  @Override
  public Map<String, Long> counts() {
    return Map.of(
        "posts_done",
        record.count(PostingRecord.Outcome.DONE),
        "posts_not_run",
        record.count(PostingRecord.Outcome.NOT_RUN),
        "posts_unknown",
        record.count(PostingRecord.Outcome.UNKNOWN));
  }
}
