import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Runs one case: exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
public final class Review {
  static final String SERVICE = "eng";
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  /** A case; returns whether the rule held. */
  interface Case {
    boolean run(Path root, Record record, String trouble) throws Exception;
  }

  private Review() {}

  public static void main(String[] args) throws Exception {
    Path root = Path.of("").toAbsolutePath();
    Path file = Path.of(args[1]);
    String trouble = System.getenv().getOrDefault("TROUBLE", "1");
    Record record = new Record();
    int code = NOT_RUN;
    try {
      Case chosen =
          switch (args[0]) {
            case "heads" -> Heads::run;
            case "restarts" -> RollingRestart::run;
            case "timeout" -> RouteTimeout::run;
            case "goes-on" -> GoesOn::run;
            case "version" -> SameId::run;
            default -> throw new IllegalArgumentException("unknown case " + args[0]);
          };
      code = chosen.run(root, record, trouble) ? HELD : BROKEN;
    } catch (Exception e) {
      record.line("the case could not run: " + e);
      e.printStackTrace();
    }
    record.line("exit code " + code);
    record.write(file);
    Runtime.getRuntime().halt(code);
  }

  /** A configuration with one streaming route. */
  static String config(int version, long timeoutMs, boolean resumable, int attempts) {
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r\",\"host\":\"app.example\","
        + "\"path-prefix\":\"/s/\",\"type\":\"streaming\",\"timeout-ms\":" + timeoutMs
        + ",\"slo-ms\":1500,\"priority\":0,\"service\":\"" + SERVICE + "\",\"max-attempts\":"
        + attempts + ",\"public\":true,\"sticky\":true,\"resumable\":" + resumable
        + ",\"itl-slo-ms\":180}],\"services\":[{\"name\":\"" + SERVICE
        + "\",\"health-path\":\"/healthz\",\"max-conns\":252,\"protocol\":\"h1\",\"tls\":false,"
        + "\"engine\":{\"slots\":24,\"kv-capacity-tokens\":34240,\"kv-token-bytes\":163840,"
        + "\"link-mbps\":24000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,"
        + "\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-ttl-s\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
        + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
        + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"t\","
        + "\"api-keys\":[\"key-of-t\"],\"priority\":1}]}";
  }

  static String fields(long deadlineMs, int request) {
    return "X-Deadline-Ms: " + deadlineMs + "\r\nX-Model: m\r\nX-Token-Usage: 900,200\r\n"
        + "X-Length-Hint: 100\r\nX-Prefix-Hash: a1:100,b" + Integer.toHexString(request)
        + ":800\r\n";
  }

  static void require(boolean condition, String what) {
    if (!condition) {
      throw new IllegalStateException(what);
    }
  }

  /** A stream of a client and its attempts to take it up. */
  static final class Stream {
    final Caller.Outcome first = new Caller.Outcome();
    final List<Caller.Outcome> takeUps = Collections.synchronizedList(new ArrayList<>());
  }

  /**
   * Sends a stream and, if it breaks off after its first event, takes it up a few times, with the
   * delay that the answer names or a growing one.
   */
  static void streamWithTakeUps(
      Deployment deployment,
      Deployment.Machine first,
      List<Deployment.Machine> others,
      int number,
      long deadlineMs,
      Stream stream) {
    Record record = deployment.record;
    long startMs = record.ms();
    String id = "req" + number;
    Caller.send(deployment, first.frontend(), "/s/x", id, fields(deadlineMs, number), "prompt",
        6_000, stream.first);
    if (stream.first.complete || stream.first.events.isEmpty()) {
      return;
    }
    int last = stream.first.events.get(stream.first.events.size() - 1);
    long delayMs = 100;
    for (int i = 1; i <= 6; i++) {
      long leftMs = deadlineMs - (record.ms() - startMs);
      if (leftMs < 1_000) {
        return;
      }
      pause(delayMs);
      Caller.Outcome outcome = new Caller.Outcome();
      stream.takeUps.add(outcome);
      Caller.send(deployment, others.get((number + i) % others.size()).frontend(), "/s/x",
          id + "t" + i,
          fields(leftMs, number) + "Last-Event-Id: " + last + "\r\nResumes: " + id + "\r\n",
          "prompt", 6_000, outcome);
      if (!outcome.events.isEmpty()) {
        last = outcome.events.get(outcome.events.size() - 1);
      }
      if (outcome.complete && outcome.status == 200) {
        return;
      }
      delayMs = Math.max((long) (1_000 * outcome.retryAfterS), 250L << i);
    }
  }

  static void pause(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void finish(ExecutorService executor, int seconds) throws InterruptedException {
    executor.shutdown();
    executor.awaitTermination(seconds, TimeUnit.SECONDS);
    executor.shutdownNow();
  }

  /**
   * The rule: of 12 or more streams that clients take up again at machines in touch, the share that
   * goes on is at least half of the share of new streams that begin.
   */
  static boolean takeUpsHeld(
      Record record, List<Stream> streams, List<Caller.Outcome> fresh, long inTouchMs) {
    int takenUp = 0;
    int goneOn = 0;
    for (Stream stream : streams) {
      boolean asked = stream.takeUps.stream().anyMatch(o -> o.sentMs >= inTouchMs);
      boolean went =
          stream.takeUps.stream().anyMatch(o -> o.sentMs >= inTouchMs && !o.events.isEmpty());
      takenUp += asked ? 1 : 0;
      goneOn += went ? 1 : 0;
    }
    long begun = fresh.stream().filter(o -> !o.events.isEmpty()).count();
    record.line("streams taken up at machines in touch: " + takenUp + ", gone on: " + goneOn);
    record.line("new streams at machines in touch: " + fresh.size() + ", begun: " + begun);
    if (takenUp < 12 || fresh.isEmpty()) {
      return true;
    }
    return (double) goneOn / takenUp >= 0.5 * begun / fresh.size();
  }

  /** All machines of the core and one entry are restarted in turn, as planned. */
  static final class RollingRestart {
    private static final int STREAMS = 24;
    private static final int RESTART_MS = 500;

    static boolean run(Path root, Record record, String trouble) throws Exception {
      List<Replica> replicas = new ArrayList<>();
      try (Deployment deployment = new Deployment(root, record, 5)) {
        deployment.start();
        require(deployment.configure(config(1, 39_000, true, 2)), "no configuration");
        for (int i = 0; i < 4; i++) {
          replicas.add(
              new Replica(deployment, i, SERVICE, i < 2 ? "v1" : "v2", 24, 185, 200, null));
        }
        require(deployment.awaitReady(), "entries are not ready");
        pause(7_000);
        Deployment.Machine stopped = deployment.entries().get(0);
        List<Deployment.Machine> others = deployment.entries().subList(1, 5);
        ExecutorService executor = Executors.newCachedThreadPool();
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
          Stream stream = new Stream();
          streams.add(stream);
          int number = i;
          executor.execute(
              () -> streamWithTakeUps(deployment, stopped, others, number, 39_000, stream));
          pause(50);
        }
        pause(1_500);
        List<Deployment.Machine> inTurn = new ArrayList<>();
        if (trouble.equals("1")) {
          inTurn.addAll(deployment.cores());
        }
        if (!trouble.equals("0")) {
          inTurn.add(stopped);
        }
        for (Deployment.Machine machine : inTurn) {
          record.line(machine.name + " gets SIGTERM");
          machine.terminate();
          record.line(machine.name + " has ended");
          pause(RESTART_MS);
          machine.start();
          record.line(machine.name + " is started again");
          if (machine.core) {
            pause(Deployment.CATCH_UP_MS);
          }
        }
        List<Caller.Outcome> fresh = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
          Caller.Outcome outcome = new Caller.Outcome();
          fresh.add(outcome);
          int number = 100 + i;
          executor.execute(
              () ->
                  Caller.send(deployment, others.get(number % others.size()).frontend(), "/s/x",
                      "req" + number, fields(39_000, number), "prompt", 6_000, outcome));
          pause(100);
        }
        pause(8_000);
        // The four other entries were not stopped, and the core was restarted long before.
        boolean held = takeUpsHeld(record, streams, fresh, 0);
        executor.shutdownNow();
        return held;
      }
    }
  }

  /** The route's timeout is shorter than some streams; clients take these up. */
  static final class RouteTimeout {
    static boolean run(Path root, Record record, String trouble) throws Exception {
      int count = 20;
      List<Replica> replicas = new ArrayList<>();
      try (Deployment deployment = new Deployment(root, record, 2)) {
        deployment.start();
        require(deployment.configure(config(1, 39_000, true, 2)), "no configuration");
        for (int i = 0; i < 3; i++) {
          replicas.add(new Replica(deployment, i, SERVICE, "v1", 24, 40, 150, null));
        }
        require(deployment.awaitReady(), "entries are not ready");
        pause(7_000);
        if (!trouble.equals("0")) {
          require(deployment.configure(config(2, 4_000, true, 2)), "no configuration");
          pause(3_000);
        }
        ExecutorService executor = Executors.newCachedThreadPool();
        List<Stream> streams = new ArrayList<>();
        List<Caller.Outcome> fresh = new ArrayList<>();
        for (int i = 0; i < count; i++) {
          Stream stream = new Stream();
          streams.add(stream);
          fresh.add(stream.first);
          int number = i;
          executor.execute(
              () ->
                  streamWithTakeUps(deployment, deployment.entries().get(number % 2),
                      deployment.entries(), number, 39_000, stream));
          pause(300);
        }
        pause(15_000);
        boolean held = takeUpsHeld(record, streams, fresh, 0);
        executor.shutdownNow();
        return held;
      }
    }
  }

  /** A replica loses answers by a reset while it works on; the requests go on elsewhere. */
  static final class GoesOn {
    static boolean run(Path root, Record record, String trouble) throws Exception {
      List<Replica> replicas = new ArrayList<>();
      AtomicInteger requests = new AtomicInteger();
      java.util.concurrent.atomic.AtomicBoolean losing =
          new java.util.concurrent.atomic.AtomicBoolean();
      int everyNth = 20;
      int lossMs = 4_000;
      int pauseMs = 45;
      try (Deployment deployment = new Deployment(root, record, 2)) {
        deployment.start();
        require(deployment.configure(config(1, 39_000, true, 2)), "no configuration");
        Replica.Trouble lostAnswer =
            (replica, request, run, socket) -> {
              if (!losing.get() || requests.incrementAndGet() % everyNth != 0) {
                return false;
              }
              Replica.write(socket.getOutputStream(), Replica.head(request) + "\r\n");
              for (int i = Replica.first(request); i <= replica.events() && !run.stopped; i++) {
                Thread.sleep(replica.gapMs());
                if (i <= 3) {
                  Replica.write(socket.getOutputStream(), replica.event(i));
                } else if (i == 4) {
                  record.line(replica.id + " loses the answer of " + run.id + " and works on");
                  socket.setSoLinger(true, 0);
                  socket.close();
                }
                run.made = i;
              }
              record.line(replica.id + " ends its work on " + run.id + ", stopped=" + run.stopped);
              return true;
            };
        for (int i = 0; i < 3; i++) {
          boolean troubled = i == 0 && !trouble.equals("0");
          replicas.add(
              new Replica(deployment, i, SERVICE, "v1", 24, 15, 150, troubled ? lostAnswer : null));
        }
        require(deployment.awaitReady(), "entries are not ready");
        pause(7_000);
        ExecutorService executor = Executors.newCachedThreadPool();
        for (int i = 0; i < 300; i++) {
          int number = i;
          // An answer is lost some 0.6 s after its request was sent.
          boolean now = i * pauseMs >= 4_000 && i * pauseMs < 4_000 + lossMs - 1_000;
          if (losing.getAndSet(now) != now) {
            record.line((now ? "answers of " : "no more answers of ") + replicas.get(0).id + " get lost");
          }
          executor.execute(
              () ->
                  Caller.send(deployment, deployment.entries().get(number % 2).frontend(), "/s/x",
                      "req" + number, fields(6_000, number), "prompt", 6_000,
                      new Caller.Outcome()));
          pause(pauseMs);
        }
        finish(executor, 10);
        int twice = 0;
        for (Replica.Run before : replicas.get(0).runs.values()) {
          for (Replica other : replicas.subList(1, 3)) {
            Replica.Run after = other.runs.get(before.id);
            if (after != null && after.startMs > before.startMs
                && before.endMs > after.startMs + 400) {
              twice++;
              record.line(before.id + " went on at " + other.id + " " + (before.endMs - after.startMs)
                  + " ms before " + replicas.get(0).id + " ended its work on it");
            }
          }
        }
        record.line("requests that went on while the replica before still worked: " + twice);
        return twice == 0;
      }
    }
  }

  /**
   * The last replica of a version is cut off from the core, crashes behind the cut and starts again
   * under its id with another version.
   */
  static final class SameId {
    private static final int CUT_MS = 5_000;
    private static final int CRASH_AFTER_MS = 300;
    private static final int DOWN_MS = 1_000;

    static boolean run(Path root, Record record, String trouble) throws Exception {
      List<Replica> replicas = new ArrayList<>();
      try (Deployment deployment = new Deployment(root, record, 2)) {
        deployment.start();
        require(deployment.configure(config(1, 39_000, true, 2)), "no configuration");
        for (int i = 0; i < 7; i++) {
          String version = i == 0 ? "v1" : "v2";
          replicas.add(new Replica(deployment, i, SERVICE, version, 24, 60, 150, null));
        }
        require(deployment.awaitReady(), "entries are not ready");
        pause(7_000);
        ExecutorService executor = Executors.newCachedThreadPool();
        List<Stream> streams = new ArrayList<>();
        for (int i = 0; i < 56; i++) {
          Stream stream = new Stream();
          streams.add(stream);
          int number = i;
          executor.execute(
              () ->
                  streamWithTakeUps(deployment, deployment.entries().get(number % 2),
                      deployment.entries(), number, 39_000, stream));
          pause(50);
        }
        pause(2_000);
        if (!trouble.equals("0")) {
          Replica before = replicas.get(0);
          record.line(before.id + " is cut off from the core");
          before.cutOff = true;
          pause(CRASH_AFTER_MS);
          record.line(before.id + " crashes");
          before.crash();
          pause(DOWN_MS);
          int cutLeftMs = CUT_MS - CRASH_AFTER_MS - DOWN_MS;
          replicas.set(0, new Replica(deployment, 0, SERVICE, "v2", 24, 60, 150, null,
              before.address.getPort(), cutLeftMs));
          record.line(before.id + " is back under its id, with version v2, behind the cut");
          pause(cutLeftMs);
          record.line(before.id + " reaches the core again");
        }
        pause(12_000);
        int mixed = 0;
        for (Stream stream : streams) {
          java.util.Set<String> versions = new java.util.TreeSet<>(stream.first.versions);
          stream.takeUps.forEach(outcome -> versions.addAll(outcome.versions));
          mixed += versions.size() > 1 ? 1 : 0;
        }
        record.line("streams that hold events of two versions: " + mixed + " of " + streams.size());
        executor.shutdownNow();
        return mixed <= 2;
      }
    }
  }

  /** Half of the replicas answer with heads without end. */
  static final class Heads {
    private static final int REPLICAS = 6;
    private static final int TROUBLED = 3;
    private static final int REQUESTS_PER_SECOND = 15;
    private static final int SECONDS = 60;

    /** Lines sent at once, each shorter than the longest that is accepted; then slow ones follow. */
    private static final int FAST_LINES = 95;

    private static final String LINE = "X-Junk: " + "j".repeat(16_000) + "\r\n";

    /** Ends of one machine's processes by themselves that the rule takes for a fault. */
    private static final int MAX_ENDS = 3;

    static boolean run(Path root, Record record, String trouble) throws Exception {
      List<Replica> replicas = new ArrayList<>();
      AtomicInteger endless = new AtomicInteger();
      try (Deployment deployment = new Deployment(root, record, 2)) {
        deployment.start();
        require(deployment.configure(config(1, 39_000, false, 1)), "no configuration");
        for (int i = 0; i < REPLICAS; i++) {
          boolean troubled = i < TROUBLED && !trouble.equals("0");
          replicas.add(
              new Replica(deployment, i, SERVICE, "v1", 24, 100, 150,
                  troubled
                      ? (replica, request, run, socket) -> answer(replica, request, run, socket, endless)
                      : null));
        }
        require(deployment.awaitReady(), "entries are not ready");
        pause(7_000);
        ExecutorService executor = Executors.newCachedThreadPool();
        for (int i = 0; i < SECONDS * REQUESTS_PER_SECOND; i++) {
          int number = i;
          executor.execute(
              () ->
                  Caller.send(deployment, deployment.entries().get(number % 2).frontend(), "/s/x",
                      "req" + number, fields(39_000, number), "prompt", 6_000,
                      new Caller.Outcome()));
          pause(1_000 / REQUESTS_PER_SECOND);
          if (i % REQUESTS_PER_SECOND == 0) {
            record.line("heads without end at this moment: " + endless.get());
          }
        }
        pause(3_000);
        int faulty = 0;
        for (Deployment.Machine machine : deployment.machines) {
          record.line(machine.name + " ended by itself " + machine.ownEnds.size() + " times");
          faulty += machine.ownEnds.size() >= MAX_ENDS ? 1 : 0;
        }
        executor.shutdownNow();
        record.line("machines whose processes ended by themselves three times: " + faulty);
        return faulty < Math.max(2, deployment.machines.size() / 10);
      }
    }

    private static boolean answer(
        Replica replica, Http.Head request, Replica.Run run, java.net.Socket socket,
        AtomicInteger endless)
        throws Exception {
      replica.deployment.record.line(replica.id + " answers " + run.id + " with a head without end");
      endless.incrementAndGet();
      try {
        java.io.OutputStream out = socket.getOutputStream();
        Replica.write(out, "HTTP/1.1 200 OK\r\n" + Replica.echo(request));
        for (int i = 0; i < FAST_LINES; i++) {
          Replica.write(out, LINE);
        }
        while (true) {
          pause(2_000);
          Replica.write(out, "X-Junk: j\r\n");
        }
      } finally {
        endless.decrementAndGet();
      }
    }
  }
}
