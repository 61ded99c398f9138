package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;

/**
 * An entry machine is killed while its requests wait for room at an engine of one service. After
 * its restart it gets requests for another service.
 */
final class WrongService {
  private static final int REQUESTS = 4;
  private static final String CONFIG =
      """
      {"version":1,"routes":[
      {"name":"r-alpha","host":"models.example","path-prefix":"/alpha/","type":"streaming",
      "timeout-ms":39000,"slo-ms":1800,"priority":1,"service":"alpha-llm","max-attempts":1,
      "public":false,"sticky":true,"resumable":false,"itl-slo-ms":180},
      {"name":"r-beta","host":"models.example","path-prefix":"/beta/","type":"streaming",
      "timeout-ms":39000,"slo-ms":1800,"priority":1,"service":"beta-llm","max-attempts":1,
      "public":false,"sticky":true,"resumable":false,"itl-slo-ms":180}],
      "services":[SERVICES],
      "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
      "idle-timeout-ms":15000},"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],
      "priority":1}]}
      """;
  private static final String SERVICE =
      """
      {"name":"%s","health-path":"/healthz","max-conns":252,"protocol":"h1","tls":false,
      "engine":{"slots":24,"kv-capacity-tokens":34240,"kv-token-bytes":163840,
      "link-mbps":24000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,
      "hold-ms":2000.0,"handle-ttl-s":5.0,"models":[{"name":"m"}]}}""";

  private final Deployment deployment;
  private final Record record;
  private final List<Thread> callers = new ArrayList<>();
  private int sent;

  private WrongService(Deployment deployment, Record record) {
    this.deployment = deployment;
    this.record = record;
  }

  public static void main(String[] args) {
    int exit = 2;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(2)) {
      exit = new WrongService(deployment, record).run(!"0".equals(System.getenv("TROUBLE")));
      record.add("exit %d", exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().exit(exit);
  }

  private int run(boolean trouble) throws Exception {
    deployment.startAll();
    String config =
        CONFIG.replace(
            "SERVICES", SERVICE.formatted("alpha-llm") + "," + SERVICE.formatted("beta-llm"));
    String first = deployment.entry(0);
    String second = deployment.entry(1);
    try (Replica alpha =
            new Replica(
                deployment, record, deployment.replica(0), "i-alpha", "alpha-llm", true);
        Replica beta =
            new Replica(deployment, record, deployment.replica(1), "i-beta", "beta-llm", true)) {
      boolean started =
          deployment.publish(config, 20_000)
              && deployment.awaitReady(first, 20_000)
              && deployment.awaitReady(second, 20_000);
      if (!started) {
        record.add("the deployment did not start");
        return 2;
      }
      Thread.sleep(4_000);
      record.add("the second entry gets requests that fill both engines");
      for (int i = 0; i < REQUESTS; i++) {
        send(second, "/alpha/stream/");
        send(second, "/beta/stream/");
      }
      Thread.sleep(1_000);
      if (alpha.runs.size() != REQUESTS || beta.runs.size() != REQUESTS) {
        record.add("the engines were not filled");
        return 2;
      }
      record.add("the first entry gets requests for alpha, which wait for room");
      for (int i = 0; i < REQUESTS; i++) {
        send(first, "/alpha/stream/");
      }
      Thread.sleep(500);
      if (trouble) {
        record.add("the first entry is killed and restarted");
        deployment.kill(first);
        Thread.sleep(100);
        deployment.start(first, false, false);
        if (!deployment.awaitReady(first, 10_000)) {
          record.add("the first entry did not restart");
          return 2;
        }
        record.add("the first entry is ready");
        Thread.sleep(700);
      }
      record.add("the first entry gets requests for beta, which wait for room");
      for (int i = 0; i < REQUESTS; i++) {
        send(first, "/beta/stream/");
      }
      Thread.sleep(700);
      record.add("the streams of alpha end");
      alpha.finishStreams();
      Thread.sleep(1_000);
      record.add("the streams of beta end");
      beta.finishStreams();
      for (Thread caller : callers) {
        caller.join(8_000);
      }
      return foreign(alpha, "/alpha/") + foreign(beta, "/beta/") > 0 ? 1 : 0;
    }
  }

  private int foreign(Replica replica, String prefix) {
    int foreign = 0;
    for (Replica.Run run : replica.runs) {
      if (!run.path().startsWith(prefix)) {
        foreign++;
        record.add(
            "ROUTE broken: request %s for %s ran at service %s",
            run.requestId(), run.path(), replica.service);
      }
    }
    return foreign;
  }

  private void send(String entry, String path) throws InterruptedException {
    String id = "%016x".formatted(0x5eed_0000L + ++sent);
    Map<String, String> headers =
        Map.of(
            "Host",
            "models.example",
            "Api-Key",
            "xd9dnn2ctnfzs989anu6",
            "X-Request-Id",
            id,
            "X-Model",
            "m",
            "X-Token-Usage",
            "6000,2000",
            "X-Prefix-Hash",
            "5c1e07a2:800," + Integer.toHexString(sent) + ":5200",
            "X-Deadline-Ms",
            "39000");
    record.add("request %s to entry %s: POST %s", id, entry, path + sent);
    String target = path + sent;
    CountDownLatch begun = new CountDownLatch(1);
    Thread caller =
        new Thread(
            () -> {
              begun.countDown();
              Http.Response response =
                  Http.call(
                      entry,
                      deployment.basePort + Deployment.FRONTEND,
                      "POST",
                      target,
                      headers,
                      "prompt".getBytes(),
                      8_000);
              record.add("answer to request %s: %s", id, response.summary());
            });
    caller.setDaemon(true);
    caller.start();
    callers.add(caller);
    begun.await();
    Thread.sleep(20);
  }
}
