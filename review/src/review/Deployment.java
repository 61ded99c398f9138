package review;

import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment of the program on loopback addresses: three control machines and some entry
 * machines, each a process that is started with the command of the deploy file.
 */
final class Deployment implements AutoCloseable {
  static final int FRONTEND = 16;
  static final int READINESS = 17;
  static final int CONTROL = 18;
  static final int REGISTRY = 19;
  static final int REPLICA = 20;
  private static final int PORTS = 21;
  private static final long MIN_BACKOFF_MS = 200;
  private static final long MAX_BACKOFF_MS = 1_600;

  final Path folder;
  final int basePort;
  private final String subnet;
  private final List<String> command;
  private final int entries;
  private final Map<String, Process> processes = new LinkedHashMap<>();

  Deployment(int entries) throws IOException {
    this.entries = entries;
    folder = Files.createTempDirectory("caroblb-review-");
    command = command();
    Random random = new Random();
    subnet = "127." + (64 + random.nextInt(60)) + "." + random.nextInt(250) + ".";
    basePort = freePorts(random);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  private int freePorts(Random random) throws IOException {
    for (int attempt = 0; attempt < 200; attempt++) {
      int base = 10_000 + 30 * random.nextInt(700);
      if (free(base)) {
        return base;
      }
    }
    throw new IOException("no free ports were found");
  }

  private boolean free(int base) {
    for (int i = 0; i < PORTS; i++) {
      try (ServerSocket socket = new ServerSocket()) {
        socket.bind(new InetSocketAddress(control(0), base + i));
      } catch (IOException e) {
        return false;
      }
    }
    return true;
  }

  private static List<String> command() throws IOException {
    Matcher run =
        Pattern.compile("\\[roles\\.entry\\]\\s*run = \"([^\"]*)\"")
            .matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no command for the role entry");
    }
    return List.of(run.group(1).split(" +"));
  }

  String control(int index) {
    return subnet + (11 + index);
  }

  String entry(int index) {
    return subnet + (31 + index);
  }

  String replica(int index) {
    return subnet + (61 + index);
  }

  /** Starts all machines for the first time. */
  void startAll() throws IOException {
    for (int i = 0; i < 3; i++) {
      start(control(i), true, true);
    }
    for (int i = 0; i < entries; i++) {
      start(entry(i), false, true);
    }
  }

  void start(String ip, boolean core, boolean firstStart) throws IOException {
    Path settings = folder.resolve(ip + ".toml");
    String seeds = "";
    for (int i = 0; i < 3; i++) {
      seeds += (i == 0 ? "" : ",") + "\"" + control(i) + ":" + (basePort + CONTROL) + "\"";
    }
    String listen =
        core
            ? "control-plane = \"%1$s:%2$d\"\nregistry = \"%1$s:%3$d\"\n"
                .formatted(ip, basePort + CONTROL, basePort + REGISTRY)
            : "frontend = \"%1$s:%2$d\"\nreadiness = \"%1$s:%3$d\"\n"
                .formatted(ip, basePort + FRONTEND, basePort + READINESS);
    Files.writeString(
        settings,
        """
        node-name = "%1$s"
        role = "%2$s"
        machine-class = "%3$s"
        serves = [%4$s]
        ip = "%1$s"
        zone = "zone-a"
        region = "region"
        internal-ports = [%5$d,%6$d]
        seeds = [%7$s]
        bootstrap = %8$s
        fault-counted = %9$s
        discovery = "registration"
        entry = "registry"
        heartbeat-ms = 1200
        contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants"]
        config-mode = "highest"
        %10$s
        [zones]
        zone-a = "region"
        [listen]
        %11$s
        [limits]
        cpu-share = 0.75
        cores = 1
        memory-mb = 280
        max-fds = 4100
        link-mbps = 1000.0
        [fault-tolerance]
        machines = 1
        zones = 0
        regions = 0
        [bounds]
        seed-lag-s = 3
        reuse-after-s = 2
        contact-ms = 3000
        ack-ms = 4000
        catch-up-s = 4
        drain-ms = 2000
        grace-s = 8
        loss-slack-ms = 200
        config-apply-ms = 2000
        rollback-slack-ms = 250
        max-skew-ms = 5000
        retry-ratio = 0.2
        retry-window-s = 10
        retry-slack = 58
        recover-s = 12
        pass-ms = 120
        retry-after-s = 5.2
        ttl_max_s = 5
        """
            .formatted(
                ip,
                core ? "control" : "entry",
                core ? "core" : "edge",
                core ? "\"control\",\"registry\"" : "\"edge\"",
                basePort,
                basePort + 15,
                seeds,
                firstStart,
                core,
                core ? "data-dir = \"" + folder.resolve(ip + ".data") + "\"" : "",
                listen));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("CAROBLB_BOOT", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(ip + ".log").toFile()));
    builder.redirectInput(new File("/dev/null"));
    synchronized (processes) {
      processes.put(ip, builder.start());
    }
  }

  Process process(String ip) {
    synchronized (processes) {
      return processes.get(ip);
    }
  }

  void kill(String ip) throws InterruptedException {
    process(ip).destroyForcibly().waitFor();
  }

  String log(String ip) throws IOException {
    return Files.readString(folder.resolve(ip + ".log"));
  }

  /** Sends a configuration as the operator does, until it is acknowledged. */
  boolean publish(String body, long forMs) throws InterruptedException {
    long untilMs = now() + forMs;
    long backoffMs = MIN_BACKOFF_MS;
    int next = ThreadLocalRandom.current().nextInt(3);
    while (now() < untilMs) {
      String ip = control(next++ % 3);
      Http.Response response = put(ip, body);
      for (int i = 0; i < 2 && response.status() == 307; i++) {
        ip = response.header("location").replaceAll("^http://([^:/]*).*$", "$1");
        response = put(ip, body);
      }
      if (response.status() == 200) {
        return true;
      }
      Thread.sleep(backoffMs);
      backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS);
    }
    return false;
  }

  private Http.Response put(String ip, String body) {
    return Http.call(
        ip,
        basePort + CONTROL,
        "PUT",
        "/v1/config",
        Map.of("Host", ip, "Content-Type", "application/json"),
        body.getBytes(),
        3_000);
  }

  boolean ready(String ip) {
    return Http.call(
                ip,
                basePort + READINESS,
                "GET",
                "/v1/readyz",
                Map.of("Host", ip),
                new byte[0],
                1_000)
            .status()
        == 200;
  }

  boolean awaitReady(String ip, long forMs) throws InterruptedException {
    long untilMs = now() + forMs;
    while (now() < untilMs) {
      if (ready(ip)) {
        return true;
      }
      Thread.sleep(20);
    }
    return false;
  }

  static long now() {
    return System.nanoTime() / 1_000_000;
  }

  @Override
  public void close() {
    synchronized (processes) {
      for (Process process : processes.values()) {
        process.destroyForcibly();
      }
      for (Process process : processes.values()) {
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    if (System.getenv("KEEP") != null || !Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      List<Path> all = new ArrayList<>(files.sorted(Comparator.reverseOrder()).toList());
      for (Path file : all) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      System.err.println("cannot remove " + folder + ": " + e);
    }
  }
}
