import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: processes of the platform's program, with the platform's part. */
final class Deployment implements AutoCloseable {
  static final int CONTACT_MS = 3_000;
  static final int CATCH_UP_MS = 4_000;
  private static final int GRACE_S = 8;

  /** One machine. */
  final class Machine {
    final String name;
    final String ip;
    final boolean core;
    final String zone;
    private boolean firstStart = true;
    private volatile boolean wanted;
    volatile Process process;

    /** Ends that this test did not cause. */
    final List<String> ownEnds = new ArrayList<>();

    Machine(String name, String ip, boolean core, String zone) {
      this.name = name;
      this.ip = ip;
      this.core = core;
      this.zone = zone;
    }

    synchronized void start() throws IOException {
      Path settings = folder.resolve(name + ".toml");
      Files.writeString(settings, settings(this));
      firstStart = false;
      ProcessBuilder builder = new ProcessBuilder(command(core ? "control" : "entry"));
      Map<String, String> environment = builder.environment();
      environment
          .keySet()
          .removeIf(key -> !List.of("PATH", "HOME", "JAVA_HOME", "LANG").contains(key));
      environment.put("CAROBLB_BOOT", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(
          ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
      builder.directory(root.toFile());
      process = builder.start();
      wanted = true;
    }

    /** Ends the process at once, as kill -9 does. */
    synchronized void kill() {
      wanted = false;
      process.destroyForcibly();
    }

    /** Stops the process as planned, with SIGTERM and after the grace period SIGKILL. */
    void terminate() throws InterruptedException {
      Process stopped;
      synchronized (this) {
        wanted = false;
        stopped = process;
      }
      stopped.destroy();
      if (!stopped.waitFor(GRACE_S, TimeUnit.SECONDS)) {
        record.line(name + " did not end within the grace period");
        stopped.destroyForcibly();
        stopped.waitFor();
      }
    }

    /** Starts the process again if it ended by itself, as the platform does. */
    private synchronized void watch() throws IOException {
      if (wanted && !process.isAlive()) {
        ownEnds.add("exit code " + process.exitValue());
        record.line("process " + name + " ended by itself, exit code " + process.exitValue());
        start();
      }
    }

    InetSocketAddress frontend() {
      return new InetSocketAddress(ip, basePort + 40);
    }

    InetSocketAddress control() {
      return new InetSocketAddress(ip, basePort + 48);
    }
  }

  final Path root;
  final Path folder;
  final Record record;
  final String prefix;
  final int basePort;
  final List<Machine> machines = new ArrayList<>();
  private final Thread watcher;
  private volatile boolean closed;

  Deployment(Path root, Record record, int entries) throws IOException {
    this.root = root;
    this.record = record;
    this.folder = Files.createTempDirectory("caroblb-review");
    Random random = new Random();
    this.prefix = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
    this.basePort = freePort(random);
    for (int i = 0; i < 3; i++) {
      machines.add(new Machine("core-" + i, prefix + (11 + i), true, "zone-" + "abc".charAt(i)));
    }
    for (int i = 0; i < entries; i++) {
      machines.add(
          new Machine("entry-" + i, prefix + (31 + i), false, "zone-" + "abc".charAt(i % 3)));
    }
    // Also ends the processes if the test itself is ended.
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    watcher = new Thread(this::watch, "watcher");
    watcher.setDaemon(true);
  }

  private int freePort(Random random) throws IOException {
    for (int i = 0; i < 100; i++) {
      int port = 10_000 + 100 * random.nextInt(150);
      try (ServerSocket a = new ServerSocket(port, 1, new InetSocketAddress(prefix + 11, 0).getAddress());
          ServerSocket b =
              new ServerSocket(port + 48, 1, new InetSocketAddress(prefix + 11, 0).getAddress())) {
        return port;
      } catch (IOException e) {
        continue;
      }
    }
    throw new IOException("no free port");
  }

  List<Machine> cores() {
    return machines.stream().filter(machine -> machine.core).toList();
  }

  List<Machine> entries() {
    return machines.stream().filter(machine -> !machine.core).toList();
  }

  void start() throws IOException {
    for (Machine machine : machines) {
      machine.start();
    }
    watcher.start();
  }

  private void watch() {
    while (!closed) {
      try {
        Thread.sleep(200);
        for (Machine machine : machines) {
          if (!closed && machine.process != null) {
            machine.watch();
          }
        }
      } catch (IOException e) {
        record.line("restart failed: " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** The words of a role's command in the deploy file. */
  private List<String> command(String role) throws IOException {
    boolean inRole = false;
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("[")) {
        inRole = line.strip().equals("[roles." + role + "]");
      } else if (inRole && line.startsWith("run")) {
        String text = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return List.of(text.split(" +"));
      }
    }
    throw new IOException("deploy/system.toml has no role " + role);
  }

  private String settings(Machine machine) {
    StringBuilder seeds = new StringBuilder();
    for (Machine core : cores()) {
      seeds.append(seeds.length() == 0 ? "" : ",").append('"').append(core.ip).append(':');
      seeds.append(basePort + 48).append('"');
    }
    StringBuilder text = new StringBuilder();
    text.append("node-name = \"").append(machine.name).append("\"\n");
    text.append("role = \"").append(machine.core ? "control" : "entry").append("\"\n");
    text.append("machine-class = \"").append(machine.core ? "core" : "edge").append("\"\n");
    text.append("serves = ").append(machine.core ? "[\"control\",\"registry\"]" : "[\"edge\"]");
    text.append("\nip = \"").append(machine.ip).append("\"\n");
    text.append("zone = \"").append(machine.zone).append("\"\nregion = \"region\"\n");
    text.append("internal-ports = [").append(basePort).append(',').append(basePort + 15);
    text.append("]\nseeds = [").append(seeds).append("]\n");
    text.append("bootstrap = ").append(machine.firstStart).append('\n');
    text.append("fault-counted = ").append(machine.core).append('\n');
    text.append("discovery = \"registration\"\nentry = \"registry\"\nheartbeat-ms = 1200\n");
    text.append("config-mode = \"highest\"\n");
    text.append("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",");
    text.append("\"engine\",\"stream\",\"tenants\"]\n");
    if (machine.core) {
      text.append("data-dir = \"").append(folder.resolve("data-" + machine.name)).append("\"\n");
    }
    text.append("[zones]\nzone-a = \"region\"\nzone-b = \"region\"\nzone-c = \"region\"\n");
    text.append("[listen]\n");
    if (machine.core) {
      text.append("control-plane = \"").append(machine.ip).append(':').append(basePort + 48);
      text.append("\"\nregistry = \"").append(machine.ip).append(':').append(basePort + 47);
      text.append("\"\n");
    } else {
      text.append("frontend = \"").append(machine.ip).append(':').append(basePort + 40);
      text.append("\"\nreadiness = \"").append(machine.ip).append(':').append(basePort + 49);
      text.append("\"\n");
    }
    text.append("[limits]\ncpu-share = 0.75\ncores = 1\nmemory-mb = ").append(machine.core ? 426 : 280);
    text.append("\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = ").append(machine.core ? 128 : 0);
    text.append("\n[fault-tolerance]\nmachines = 1\nzones = 0\nregions = 0\n");
    text.append("[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\n");
    text.append("catch-up-s = 4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\n");
    text.append("config-apply-ms = 2000\nrollback-slack-ms = 250\nmax-skew-ms = 5000\n");
    text.append("strict-revoke = false\nrevoke-ms = 5000\nretry-ratio = 0.2\nretry-window-s = 10\n");
    text.append("retry-slack = 58\nrecover-s = 12\npass-ms = 120\nretry-after-s = 5.2\nttl_max_s = 5\n");
    return text.toString();
  }

  /** Sends a configuration until it is acknowledged; false if it was not within 30 s. */
  boolean configure(String body) throws InterruptedException {
    long untilMs = System.currentTimeMillis() + 30_000;
    int next = 0;
    while (System.currentTimeMillis() < untilMs) {
      InetSocketAddress address = cores().get(next++ % 3).control();
      for (int redirects = 0; redirects < 3; redirects++) {
        Map<String, String> headers = new LinkedHashMap<>();
        int status = call(address, "PUT", "/v1/config", body, headers);
        if (status == 200) {
          record.line("configuration acknowledged");
          return true;
        }
        if (status != 307 || !headers.containsKey("location")) {
          break;
        }
        String location = headers.get("location").substring("http://".length());
        String[] hostPort = location.substring(0, location.indexOf('/')).split(":");
        address = new InetSocketAddress(hostPort[0], Integer.parseInt(hostPort[1]));
      }
      Thread.sleep(200);
    }
    return false;
  }

  /** Sends a request with a JSON body; returns the status, or -1 without a complete head. */
  static int call(
      InetSocketAddress address,
      String method,
      String path,
      String body,
      Map<String, String> headers) {
    try (Socket socket = new Socket()) {
      socket.connect(address, 1_000);
      socket.setSoTimeout(2_000);
      byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + address.getHostString()
              + "\r\nContent-Type: application/json\r\nContent-Length: " + bytes.length
              + "\r\nConnection: close\r\n\r\n";
      OutputStream out = socket.getOutputStream();
      out.write(head.getBytes(StandardCharsets.UTF_8));
      out.write(bytes);
      out.flush();
      Http.Head response = Http.readHead(socket.getInputStream());
      headers.putAll(response.fields);
      return Integer.parseInt(response.start.split(" ")[1]);
    } catch (IOException | RuntimeException e) {
      return -1;
    }
  }

  /** Waits until the entries serve callers with a configuration; false after 40 s. */
  boolean awaitReady() throws InterruptedException {
    long untilMs = System.currentTimeMillis() + 40_000;
    for (Machine entry : entries()) {
      InetSocketAddress address = new InetSocketAddress(entry.ip, basePort + 49);
      while (call(address, "GET", "/v1/readyz", "", new LinkedHashMap<>()) != 200) {
        if (System.currentTimeMillis() > untilMs) {
          return false;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }

  @Override
  public void close() {
    closed = true;
    watcher.interrupt();
    for (Machine machine : machines) {
      if (machine.process != null) {
        machine.kill();
      }
    }
    for (Machine machine : machines) {
      try {
        if (machine.process != null) {
          machine.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP") == null) {
      delete(folder);
    } else {
      System.out.println("kept " + folder);
    }
  }

  private static void delete(Path path) {
    try (var files = Files.walk(path)) {
      for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    } catch (IOException e) {
      System.err.println("cannot remove " + path + ": " + e);
    }
  }
}

/** What was sent, answered and run, with the time since the start. */
final class Record {
  private final long startNanos = System.nanoTime();
  private final StringBuilder text = new StringBuilder();

  synchronized void line(String line) {
    text.append(String.format("%9.3f %s%n", ms() / 1_000.0, line));
  }

  long ms() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void write(Path file) throws IOException {
    Files.writeString(file, text.toString());
  }
}

/** Reads messages of HTTP/1.1. */
final class Http {
  private Http() {}

  static final class Head {
    final String start;
    final Map<String, String> fields = new LinkedHashMap<>();

    Head(String start) {
      this.start = start;
    }

    String field(String name) {
      return fields.getOrDefault(name, "");
    }
  }

  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    while (true) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("end of input");
      }
      if (next == '\n') {
        return line.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
      }
      line.write(next);
    }
  }

  static Head readHead(InputStream in) throws IOException {
    Head head = new Head(readLine(in));
    while (true) {
      String line = readLine(in);
      if (line.isEmpty()) {
        return head;
      }
      int colon = line.indexOf(':');
      head.fields.put(
          line.substring(0, colon).strip().toLowerCase(), line.substring(colon + 1).strip());
    }
  }
}
