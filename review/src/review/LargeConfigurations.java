package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;

/**
 * The configuration grows by many routes, then changes come in quick succession. At the end the
 * operator reads back what was acknowledged.
 */
final class LargeConfigurations {
  private static final int ENTRIES = 9;
  private static final int ROUTES_MORE = 390;
  private static final int GROWTHS = 24;
  private static final int STORMS = 3;
  private static final int STORM_MS = 1_500;
  private static final int PAUSE_MS = 2_000;
  private static final int STORM_GAP_MS = 60;
  private static final int QUIET_GAP_MS = 1_000;
  private static final int QUIET_CHANGES = 15;
  private static final int ORDERS_IN_PROGRESS = 8;
  private static final int SETTLE_MS = 12_000;
  private static final int READ_MS = 10_000;

  private final Deployment deployment;
  private final Record record;
  private final TreeSet<Integer> acknowledged = new TreeSet<>();
  private final List<Thread> orders = new ArrayList<>();
  private final Semaphore inProgress = new Semaphore(ORDERS_IN_PROGRESS);
  private int version;

  private LargeConfigurations(Deployment deployment, Record record) {
    this.deployment = deployment;
    this.record = record;
  }

  public static void main(String[] args) {
    int exit = 2;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(ENTRIES)) {
      exit =
          new LargeConfigurations(deployment, record).run(!"0".equals(System.getenv("TROUBLE")));
      record.add("exit %d", exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().exit(exit);
  }

  private int run(boolean trouble) throws Exception {
    deployment.startAll();
    if (!publish(10, 20_000)) {
      record.add("the deployment did not start");
      return 2;
    }
    for (int i = 0; i < ENTRIES; i++) {
      if (!deployment.awaitReady(deployment.entry(i), 20_000)) {
        record.add("an entry did not start");
        return 2;
      }
    }
    Thread.sleep(2_000);
    for (int i = 1; i <= GROWTHS; i++) {
      if (!publish(10 + i * ROUTES_MORE, 10_000)) {
        record.add("the configuration could not grow");
        return 2;
      }
      Thread.sleep(300);
    }
    int routes = 10 + GROWTHS * ROUTES_MORE;
    Thread.sleep(3_000);
    if (trouble) {
      record.add(
          "changes of a configuration of %d bytes each %d ms", config(0, routes).length(),
          STORM_GAP_MS);
      for (int i = 0; i < STORMS; i++) {
        storm(routes);
        Thread.sleep(PAUSE_MS);
      }
    } else {
      record.add(
          "changes of a configuration of %d bytes each %d ms", config(0, routes).length(),
          QUIET_GAP_MS);
      for (int i = 0; i < QUIET_CHANGES; i++) {
        inProgress.acquire();
        order(routes);
        Thread.sleep(QUIET_GAP_MS);
      }
    }
    for (Thread order : orders) {
      order.join(20_000);
    }
    Thread.sleep(SETTLE_MS);
    int newest;
    synchronized (this) {
      newest = acknowledged.last();
    }
    record.add("newest acknowledged version: %d", newest);
    boolean came = readBack(newest);
    for (int i = 0; i < 3; i++) {
      String ip = deployment.control(i);
      record.add(
          "control machine %s: process runs %s, OutOfMemoryError in its log %d times",
          ip, deployment.process(ip).isAlive(),
          deployment.log(ip).split("OutOfMemoryError", -1).length - 1);
    }
    if (!came) {
      record.add("CONFIG broken: the configuration does not come when it is read back");
    }
    return came ? 0 : 1;
  }

  private void storm(int routes) throws InterruptedException {
    long untilMs = Deployment.now() + STORM_MS;
    while (Deployment.now() < untilMs) {
      inProgress.acquire();
      order(routes);
      Thread.sleep(STORM_GAP_MS);
    }
  }

  private void order(int routes) {
    Thread thread =
        new Thread(
            () -> {
              try {
                publish(routes, 10_000);
              } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
              } finally {
                inProgress.release();
              }
            });
    thread.setDaemon(true);
    thread.start();
    orders.add(thread);
  }

  private boolean publish(int routes, long forMs) throws InterruptedException {
    int number;
    synchronized (this) {
      number = ++version;
    }
    record.add("configuration %d with %d routes is sent", number, routes);
    boolean accepted = deployment.publish(config(number, routes), forMs);
    record.add("configuration %d: %s", number, accepted ? "acknowledged" : "no acknowledgement");
    synchronized (this) {
      if (accepted) {
        acknowledged.add(number);
      }
    }
    return accepted;
  }

  /** Reads as the operator does: at any machine, with two redirects, one second for each call. */
  private boolean readBack(int newest) throws InterruptedException {
    long untilMs = Deployment.now() + READ_MS;
    int reads = 0;
    while (Deployment.now() < untilMs) {
      String ip = deployment.control(ThreadLocalRandom.current().nextInt(3));
      Http.Response response = read(ip);
      for (int i = 0; i < 2 && response.status() == 307; i++) {
        ip = response.header("location").replaceAll("^http://([^:/]*).*$", "$1");
        response = read(ip);
      }
      if (response.status() == 200) {
        int read =
            Integer.parseInt(response.text().replaceAll("(?s)^\\{\"version\":(\\d+),.*$", "$1"));
        record.add("read back: version %d", read);
        return read >= newest;
      }
      reads++;
      if (reads % 10 == 1) {
        record.add("read at %s: %s", ip, response.summary());
      }
      Thread.sleep(100);
    }
    record.add("%d reads in %d ms, none with a configuration", reads, READ_MS);
    return false;
  }

  private Http.Response read(String ip) {
    return Http.call(
        ip,
        deployment.basePort + Deployment.CONTROL,
        "GET",
        "/v1/config",
        Map.of("Host", ip),
        new byte[0],
        1_000);
  }

  private static String config(int number, int routes) {
    StringBuilder text = new StringBuilder("{\"version\":" + number + ",\"routes\":[");
    for (int i = 0; i < routes; i++) {
      text.append(i == 0 ? "" : ",")
          .append("{\"name\":\"r-%06d\",\"host\":\"books.example\",".formatted(i))
          .append("\"path-prefix\":\"/p%06d/\",\"type\":\"unsafe\",\"timeout-ms\":1200,".formatted(i))
          .append("\"slo-ms\":150,\"priority\":2,\"service\":\"books\",\"max-attempts\":1,")
          .append("\"public\":false,\"sticky\":false,\"resumable\":false}");
    }
    return text
        + "],\"services\":[{\"name\":\"books\",\"health-path\":\"/healthz\",\"max-conns\":110,"
        + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
        + "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":"
        + (15_000 + number)
        + "},\"tenants\":[{\"name\":\"huka270\",\"api-keys\":[\"xd9dnn2ctnfzs989anu6\"],"
        + "\"priority\":1}]}";
  }
}
