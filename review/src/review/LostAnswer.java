package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A replica runs a generation and its answer is lost on the way. */
final class LostAnswer {
  private static final int ROUNDS = 10;
  private static final int AT_ONCE = 4;
  private static final int STILL_AT_WORK_MS = 400;
  private static final String CONFIG =
      """
      {"version":1,"routes":[
      {"name":"r-plan","host":"models.example","path-prefix":"/plan/","type":"streaming",
      "timeout-ms":39000,"slo-ms":1800,"priority":1,"service":"plan-llm","max-attempts":1,
      "public":false,"sticky":true,"resumable":false,"itl-slo-ms":180}],
      "services":[{"name":"plan-llm","health-path":"/healthz","max-conns":252,"protocol":"h1",
      "tls":false,"engine":{"slots":24,"kv-capacity-tokens":34240,"kv-token-bytes":163840,
      "link-mbps":24000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,
      "hold-ms":2000.0,"handle-ttl-s":5.0,"models":[{"name":"m"}]}}],
      "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
      "idle-timeout-ms":15000},"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],
      "priority":1}]}
      """;

  private final Deployment deployment;
  private final Record record;
  private int sent;

  private LostAnswer(Deployment deployment, Record record) {
    this.deployment = deployment;
    this.record = record;
  }

  public static void main(String[] args) {
    int exit = 2;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(1)) {
      exit = new LostAnswer(deployment, record).run(!"0".equals(System.getenv("TROUBLE")));
      record.add("exit %d", exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().exit(exit);
  }

  private int run(boolean trouble) throws Exception {
    deployment.startAll();
    try (Replica first =
            new Replica(deployment, record, deployment.replica(0), "i-1", "plan-llm", true);
        Replica second =
            new Replica(deployment, record, deployment.replica(1), "i-2", "plan-llm", true)) {
      boolean started =
          deployment.publish(CONFIG, 20_000)
              && deployment.awaitReady(deployment.entry(0), 20_000);
      if (!started) {
        record.add("the deployment did not start");
        return 2;
      }
      Thread.sleep(4_000);
      if (trouble) {
        first.loseAnswerOf(2);
      }
      for (int round = 0; round < ROUNDS; round++) {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < AT_ONCE; i++) {
          Thread caller = new Thread(this::send);
          caller.setDaemon(true);
          caller.start();
          callers.add(caller);
        }
        for (Thread caller : callers) {
          caller.join(10_000);
        }
      }
      if (first.runs.size() + second.runs.size() < ROUNDS * AT_ONCE) {
        record.add("not all requests ran");
        return 2;
      }
      return doubled(first, second) + doubled(second, first) > 0 ? 1 : 0;
    }
  }

  /** Number of requests that went on elsewhere while a replica was still at work on them. */
  private int doubled(Replica before, Replica after) {
    int doubled = 0;
    for (Replica.Work next : after.work) {
      for (Replica.Work earlier : before.work) {
        boolean same = next.continued() && earlier.requestId().equals(next.requestId());
        long overlapMs = earlier.untilMs() - next.fromMs();
        if (same && overlapMs >= STILL_AT_WORK_MS) {
          doubled++;
          record.add(
              "TWICE broken: request %s went on at %s, and %s still worked on it %d ms later",
              next.requestId(), next.replica(), earlier.replica(), overlapMs);
        }
      }
    }
    return doubled;
  }

  private void send() {
    String id;
    int number;
    synchronized (this) {
      number = ++sent;
      id = "%016x".formatted(0x5eed_0000L + number);
    }
    record.add("request %s is sent", id);
    Http.Response response =
        Http.call(
            deployment.entry(0),
            deployment.basePort + Deployment.FRONTEND,
            "POST",
            "/plan/events/" + number,
            Map.of(
                "Host", "models.example",
                "Api-Key", "xd9dnn2ctnfzs989anu6",
                "X-Request-Id", id,
                "X-Model", "m",
                "X-Token-Usage", "3000,936",
                "X-Prefix-Hash", "5c1e07a2:800," + Integer.toHexString(number) + ":2200",
                "X-Deadline-Ms", "39000"),
            "prompt".getBytes(),
            8_000);
    record.add("answer to request %s: %s", id, response.summary());
  }
}
