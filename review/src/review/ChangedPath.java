package review;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Callers send paths that begin with an empty segment. */
final class ChangedPath {
  private static final String CONFIG =
      """
      {"version":1,"routes":[
      {"name":"r-pages","host":"books.example","path-prefix":"/","type":"safe",
      "timeout-ms":1200,"slo-ms":150,"priority":2,"service":"pages","max-attempts":2,
      "public":false,"sticky":false,"resumable":false},
      {"name":"r-post","host":"books.example","path-prefix":"/post/","type":"unsafe",
      "timeout-ms":1200,"slo-ms":150,"priority":2,"service":"ledger","max-attempts":1,
      "public":false,"sticky":false,"resumable":false}],
      "services":[{"name":"pages","health-path":"/healthz","max-conns":110,"protocol":"h1",
      "tls":false},{"name":"ledger","health-path":"/healthz","max-conns":110,"protocol":"h1",
      "tls":false}],
      "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
      "idle-timeout-ms":15000},"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],
      "priority":1}]}
      """;

  private ChangedPath() {}

  public static void main(String[] args) {
    int exit = 2;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(1)) {
      exit = run(deployment, record, !"0".equals(System.getenv("TROUBLE")));
      record.add("exit %d", exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().exit(exit);
  }

  private static int run(Deployment deployment, Record record, boolean trouble) throws Exception {
    deployment.startAll();
    String entry = deployment.entry(0);
    try (Replica pages =
            new Replica(deployment, record, deployment.replica(0), "i-pages", "pages", false);
        Replica ledger =
            new Replica(deployment, record, deployment.replica(1), "i-ledger", "ledger", false)) {
      boolean started =
          deployment.publish(CONFIG, 20_000) && deployment.awaitReady(entry, 20_000);
      if (!started) {
        record.add("the deployment did not start");
        return 2;
      }
      Thread.sleep(4_000);
      List<String> paths =
          trouble
              ? List.of("//archive/post/17", "//post/18", "//archive/page/19")
              : List.of("/archive/post/17", "/archive//post/18", "/archive/page/19");
      int broken = 0;
      for (int i = 0; i < paths.size(); i++) {
        broken += send(deployment, record, entry, paths.get(i), i, List.of(pages, ledger));
      }
      return broken > 0 ? 1 : 0;
    }
  }

  /** Sends a request whose path the configuration sends to the service pages. */
  private static int send(
      Deployment deployment,
      Record record,
      String entry,
      String path,
      int number,
      List<Replica> replicas) {
    String id = "%016x".formatted(0x5eed_0001L + number);
    record.add("request %s: GET %s", id, path);
    Http.Response response =
        Http.call(
            entry,
            deployment.basePort + Deployment.FRONTEND,
            "GET",
            path,
            Map.of(
                "Host", "books.example",
                "Api-Key", "xd9dnn2ctnfzs989anu6",
                "X-Request-Id", id,
                "X-Deadline-Ms", "2500"),
            new byte[0],
            3_000);
    record.add("answer to request %s: %s", id, response.summary());
    int broken = 0;
    for (Replica replica : replicas) {
      for (Replica.Run run : replica.runs) {
        if (!run.requestId().equals(id)) {
          continue;
        }
        if (!run.path().equals(path)) {
          broken++;
          record.add("UNASKED broken: request %s for %s ran with path %s", id, path, run.path());
        }
        if (!replica.service.equals("pages")) {
          broken++;
          record.add("ROUTE broken: request %s ran at service %s", id, replica.service);
        }
      }
    }
    return broken;
  }
}
