package dev.caroblb.soak;

import dev.caroblb.systemtests.SystemProbe;
import dev.caroblb.systemtests.TestCaller;
import dev.caroblb.systemtests.TestCluster;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** Publishes numbered configurations and checks that no accepted one is lost or reverted. */
final class Publisher implements Workload {
  private static final long PAUSE_MS = 300;
  private static final int MAX_SHARE = 90;

  /** Number 1 is published when the system starts. */
  private static final long FIRST_NUMBER = 2;

  /**
   * A process of an instance, with its process id. Each start of the instance creates a new one.
   */
  private record InstanceProcess(String instance, long process) {}

  private final TestCluster cluster;
  private final SystemProbe probe;
  private final TestCaller caller = new TestCaller();
  private final Violations violations;
  private final Random random;
  private final Map<InstanceProcess, Long> highestInForce = new HashMap<>();
  private long nextNumber = FIRST_NUMBER;
  private long highestAccepted = 1;
  private long acceptedCount;

  Publisher(TestCluster cluster, Violations violations, Random random) {
    this.cluster = cluster;
    this.probe = new SystemProbe(cluster, caller);
    this.violations = violations;
    this.random = random;
  }

  private String randomInstance() {
    return cluster.names().get(random.nextInt(cluster.names().size()));
  }

  @Override
  public boolean runOnce() throws Exception {
    publish(cluster.address(randomInstance()));
    checkNoRevert(randomInstance());
    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
    return true;
  }

  private void publish(String address) throws Exception {
    long number = nextNumber++;
    try {
      TestCaller.Response response =
          caller.publish(
              address,
              number,
              "soak-" + number,
              SystemProbe.receiptsWithShare(1 + random.nextInt(MAX_SHARE)));
      String outcome = response.body().path("outcome").asText();
      if (outcome.equals("in_force") || outcome.equals("accepted")) {
        highestAccepted = Math.max(highestAccepted, number);
        acceptedCount++;
      }
    } catch (IOException e) {
      // Without a response it is unknown whether the number was accepted.
    }
  }

  private void checkNoRevert(String instance) throws Exception {
    InstanceProcess process = new InstanceProcess(instance, cluster.instance(instance).pid());
    try {
      long current = probe.status(instance).path("configuration").asLong();
      long highest = highestInForce.merge(process, current, Math::max);
      if (current < highest) {
        violations.add(
            "a configuration in force never reverts",
            process + " had " + highest + ", then " + current);
      }
    } catch (IOException e) {
      // An instance that cannot be reached is checked in a later round.
    }
  }

  @Override
  public void verifyFinalState() throws Exception {
    probe.awaitConfiguration(highestAccepted);
  }

  @Override
  public Map<String, Long> counts() {
    return Map.of("publishes", nextNumber - FIRST_NUMBER, "publishes_accepted", acceptedCount);
  }
}
