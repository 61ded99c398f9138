package dev.caroblb.soak;

import dev.caroblb.systemtests.SystemProbe;
import dev.caroblb.systemtests.TestCaller;
import dev.caroblb.systemtests.TestCluster;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Publishes numbered configurations and checks that none that was accepted is lost or undone. */
final class Publisher implements Workload {
  private static final long PAUSE_MS = 300;
  private static final int MAX_SHARE = 90;

  /** Number 1 is published when the system starts. */
  private static final long FIRST_NUMBER = 2;

  private record Life(String instance, long process) {}

  private final TestCluster cluster;
  private final SystemProbe probe;
  private final TestCaller caller = new TestCaller();
  private final Violations violations;
  private final Random random;
  private final Map<Life, Long> inForce = new HashMap<>();
  private long next = FIRST_NUMBER;
  private long accepted = 1;
  private long acceptedCount;

  Publisher(TestCluster cluster, Violations violations, Random random) {
    this.cluster = cluster;
    this.probe = new SystemProbe(cluster, caller);
    this.violations = violations;
    this.random = random;
  }

  private String any() {
    return cluster.names().get(random.nextInt(cluster.names().size()));
  }

  @Override
  public boolean once() throws Exception {
    publish(cluster.address(any()));
    watch(any());
    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    return true;
  }

  private void publish(String address) throws Exception {
    long number = next++;
    try {
      TestCaller.Answer answer =
          caller.publish(
              address,
              number,
              "soak-" + number,
              SystemProbe.receiptsWithShare(1 + random.nextInt(MAX_SHARE)));
      String outcome = answer.body().path("outcome").asText();
      if (outcome.equals("in_force") || outcome.equals("accepted")) {
        accepted = Math.max(accepted, number);
        acceptedCount++;
      }
    } catch (IOException e) {
      // Without an answer the number may or may not be accepted.
    }
  }

  private void watch(String instance) throws Exception {
    Life life = new Life(instance, cluster.instance(instance).pid());
    try {
      long now = probe.status(instance).path("configuration").asLong();
      long before = inForce.merge(life, now, Math::max);
      if (now < before) {
        violations.add(
            "a configuration in force never reverts", life + " had " + before + ", then " + now);
      }
    } catch (IOException e) {
      // An instance that cannot be reached is watched later.
    }
  }

  @Override
  public void finish() throws Exception {
    probe.awaitConfiguration(accepted);
  }

  @Override
  public Map<String, Long> counts() {
    return Map.of("publishes", next - FIRST_NUMBER, "publishes_accepted", acceptedCount);
  }
}
