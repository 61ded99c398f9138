package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Several callers send long bodies to one entry machine at the same time. */
final class LargeBodies {
  private static final int BODY_BYTES = 4_194_304;
  private static final int TIMEOUT_MS = 1_200;
  private static final int CONTACT_MS = 3_000;
  private static final int USUAL_CALLERS = 6;

  /** 1.7 times the usual ones, the largest dose of a burst. */
  private static final int CALLERS_IN_BURST = 10;

  private static final int BURST_MS = 3_000;
  private static final int LATER_CLIENTS = 8;
  private static final String CONFIG =
      """
      {"version":1,"routes":[
      {"name":"r-post","host":"books.example","path-prefix":"/post/","type":"unsafe",
      "timeout-ms":1200,"slo-ms":150,"priority":2,"service":"books","max-attempts":1,
      "public":false,"sticky":false,"resumable":false}],
      "services":[{"name":"books","health-path":"/healthz","max-conns":110,"protocol":"h1",
      "tls":false}],
      "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
      "idle-timeout-ms":15000},"tenants":[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],
      "priority":1}]}
      """;

  private final Deployment deployment;
  private final Record record;
  private int sent;

  private LargeBodies(Deployment deployment, Record record) {
    this.deployment = deployment;
    this.record = record;
  }

  public static void main(String[] args) {
    int exit = 2;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(1)) {
      exit = new LargeBodies(deployment, record).run(!"0".equals(System.getenv("TROUBLE")));
      record.add("exit %d", exit);
    } catch (Exception e) {
      e.printStackTrace();
    }
    Runtime.getRuntime().exit(exit);
  }

  private int run(boolean trouble) throws Exception {
    deployment.startAll();
    String entry = deployment.entry(0);
    try (Replica first =
            new Replica(deployment, record, deployment.replica(0), "i-1", "books", false);
        Replica second =
            new Replica(deployment, record, deployment.replica(1), "i-2", "books", false)) {
      boolean started =
          deployment.publish(CONFIG, 20_000) && deployment.awaitReady(entry, 20_000);
      if (!started) {
        record.add("the deployment did not start");
        return 2;
      }
      Thread.sleep(4_000);
      if (!send(entry, 1_000).complete()) {
        record.add("the deployment does not serve");
        return 2;
      }
      int atOnce = trouble ? CALLERS_IN_BURST : USUAL_CALLERS;
      record.add("%d callers send bodies of %d bytes, one after another each", atOnce, BODY_BYTES);
      long untilMs = Deployment.now() + BURST_MS;
      List<Thread> callers = new ArrayList<>();
      for (int i = 0; i < atOnce; i++) {
        callers.add(
            background(
                () -> {
                  while (Deployment.now() < untilMs) {
                    if (!send(entry, BODY_BYTES).complete()) {
                      pause();
                    }
                  }
                }));
      }
      // Some requests may never be answered; their callers go on waiting.
      Thread.sleep(BURST_MS + CONTACT_MS);
      return takesNoConnection(entry) ? 1 : 0;
    }
  }

  /**
   * Whether the entry says that it is ready and takes no new connection for longer than {@code
   * contact-ms}, while eight clients try.
   */
  private boolean takesNoConnection(String entry) throws Exception {
    AtomicInteger connected = new AtomicInteger();
    AtomicInteger refused = new AtomicInteger();
    long untilMs = Deployment.now() + CONTACT_MS + 2_000;
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < LATER_CLIENTS; i++) {
      clients.add(
          background(
              () -> {
                while (Deployment.now() < untilMs) {
                  (send(entry, 1_000).status() == 0 ? refused : connected).incrementAndGet();
                  pause();
                }
              }));
    }
    boolean ready = true;
    while (Deployment.now() < untilMs) {
      ready &= deployment.ready(entry);
      Thread.sleep(250);
    }
    for (Thread client : clients) {
      client.join(5_000);
    }
    record.add(
        "entry: process runs %s, says ready %s; %d clients: %d requests answered, %d without a"
            + " connection",
        deployment.process(entry).isAlive(),
        ready,
        LATER_CLIENTS,
        connected.get(),
        refused.get());
    boolean broken =
        ready && deployment.process(entry).isAlive() && connected.get() == 0 && refused.get() > 0;
    if (broken) {
      record.add("RECOVER broken: a ready machine takes no new connection");
      String log = deployment.log(entry);
      int fault = log.indexOf("Exception in thread");
      record.add("log of the entry: %s", fault < 0 ? "-" : log.substring(fault).split("\n")[0]);
    }
    return broken;
  }

  private static void pause() {
    try {
      Thread.sleep(250);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Thread background(Runnable action) {
    Thread thread = new Thread(action);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private Http.Response send(String entry, int bodyBytes) {
    String id;
    synchronized (this) {
      id = "%016x".formatted(0x5eed_0000L + ++sent);
    }
    Map<String, String> headers =
        Map.of(
            "Host", "books.example",
            "Api-Key", "xd9dnn2ctnfzs989anu6",
            "X-Request-Id", id,
            "X-Deadline-Ms", "2500",
            "Content-Type", "application/octet-stream");
    record.add("request %s with %d bytes", id, bodyBytes);
    Http.Response response =
        Http.call(
            entry,
            deployment.basePort + Deployment.FRONTEND,
            "POST",
            "/post/" + id,
            headers,
            new byte[bodyBytes],
            bodyBytes == BODY_BYTES ? 10_000 : TIMEOUT_MS + 500);
    record.add("answer to request %s: %s", id, response.summary());
    return response;
  }
}
