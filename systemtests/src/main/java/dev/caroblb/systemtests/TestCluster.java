package dev.caroblb.systemtests;

import dev.caroblb.callers.BearerTokens;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

/** A system of real processes: instances in three failure domains, and stand-in targets. */
public final class TestCluster implements AutoCloseable {
  static final String OPERATOR_TOKEN = "example-operator-token";
  static final String TARGET_TOKEN = "example-target-token";

  private static final AtomicInteger CREATED_COUNT = new AtomicInteger();
  private static final int DOMAIN_COUNT = 3;
  private static final int CALLERS_PORT = 7_100;
  private static final int PEERS_PORT = 7_200;
  private static final long START_TIMEOUT_MS = 60_000;

  private final Path folder;
  private final int replicas;
  private final List<String> names = new ArrayList<>();

  /** The soak starts instances in several threads. */
  private final Map<String, ManagedProcess> instances =
      Collections.synchronizedMap(new LinkedHashMap<>());

  private final Map<String, ManagedProcess> standins = new LinkedHashMap<>();
  private final Map<String, String> standinAddresses = new LinkedHashMap<>();
  private final String addressPrefix;
  private final PeerAddresses peerAddresses;

  /**
   * Creates a cluster whose instances connect to each other directly.
   *
   * @param size number of instances
   * @param replicas number of instances that are replicas and have a data folder
   */
  public TestCluster(int size, int replicas) throws IOException {
    this(size, replicas, (from, to, address) -> address);
  }

  /** Creates a cluster whose instances reach each other at the given addresses. */
  public TestCluster(int size, int replicas, PeerAddresses peerAddresses) throws IOException {
    this.peerAddresses = peerAddresses;
    this.folder = Files.createTempDirectory("caroblb");
    this.replicas = replicas;
    // Each cluster gets its own loopback addresses, so that clusters can use the same fixed ports.
    long unique = ProcessHandle.current().pid() * 16 + CREATED_COUNT.getAndIncrement();
    addressPrefix = "127." + (64 + unique / 250 % 128) + "." + (1 + unique % 250) + ".";
    for (int i = 1; i <= size; i++) {
      names.add("entry-" + i);
    }
    for (String name : names) {
      Files.writeString(settingsFile(name), settings(name));
    }
  }

  private Path settingsFile(String name) {
    return folder.resolve(name + ".toml");
  }

  private int numberOf(String name) {
    return names.indexOf(name) + 1;
  }

  private String domainOf(String name) {
    return "domain-" + (1 + (numberOf(name) - 1) % DOMAIN_COUNT);
  }

  private boolean isReplica(String name) {
    return numberOf(name) <= replicas;
  }

  /** Address on which an instance serves callers. */
  public String address(String name) {
    return addressPrefix + numberOf(name) + ":" + CALLERS_PORT;
  }

  public List<String> names() {
    return List.copyOf(names);
  }

  List<String> addresses() {
    return names.stream().map(this::address).toList();
  }

  Path dataFolder(String name) {
    return folder.resolve("data-" + name);
  }

  private String settings(String name) throws IOException {
    StringBuilder text = new StringBuilder();
    text.append("cluster = \"test\"\ncluster_token = \"example-cluster-token\"\n");
    text.append("instance = \"").append(name).append("\"\n");
    text.append("domain = \"").append(domainOf(name)).append("\"\nregion = \"test-region\"\n");
    text.append("callers_address = \"").append(address(name)).append("\"\n");
    text.append("peers_address = \"").append(peersAddress(name)).append("\"\n");
    if (isReplica(name)) {
      text.append("data_folder = \"").append(dataFolder(name)).append("\"\n");
    }
    text.append("key_groups = 2\n");
    text.append("operator_token_sha256 = \"")
        .append(BearerTokens.sha256(OPERATOR_TOKEN))
        .append("\"\n");
    text.append("target_token_sha256 = \"")
        .append(BearerTokens.sha256(TARGET_TOKEN))
        .append("\"\n");
    for (String peer : names) {
      text.append("\n[[peers]]\ninstance = \"").append(peer).append("\"\n");
      text.append("domain = \"").append(domainOf(peer)).append("\"\n");
      String address = peerAddresses.addressFor(name, peer, peersAddress(peer));
      text.append("peers_address = \"").append(address).append("\"\n");
      text.append("callers_address = \"").append(address(peer)).append("\"\n");
      text.append("replica = ").append(isReplica(peer)).append('\n');
    }
    return text.toString();
  }

  private String peersAddress(String name) {
    return addressPrefix + numberOf(name) + ":" + PEERS_PORT;
  }

  /** Starts all instances without waiting until they are ready. */
  public void startAll() throws IOException {
    for (String name : names) {
      start(name);
    }
  }

  /** Starts one instance, for the first time or after its exit. */
  public void start(String name) throws IOException {
    List<String> command =
        new ArrayList<>(Repository.javaCommand("daemon", "dev.caroblb.daemon.Caroblbd"));
    command.add("--settings");
    command.add(settingsFile(name).toString());
    instances.put(name, ManagedProcess.start(name, command, folder));
  }

  public ManagedProcess instance(String name) {
    return instances.get(name);
  }

  /** Deletes the data folder of an instance that is not running. */
  public void deleteData(String name) throws IOException {
    deleteTree(dataFolder(name));
  }

  /** Starts a stand-in engine that serves the given models. Returns its address. */
  public String startEngine(String target, String domain, String... models) throws Exception {
    return startStandin("engine", target, domain, List.of(models), List.of());
  }

  /**
   * Starts a stand-in engine that serves no model until it is ordered to load one. Returns its
   * address.
   *
   * @param checksFencing whether it rejects orders with an outdated fencing token
   */
  String startEmptyEngine(String target, String domain, boolean checksFencing) throws Exception {
    List<String> extra =
        checksFencing ? List.of("--empty") : List.of("--empty", "--ignore-fencing");
    return startStandin("engine", target, domain, List.of("none"), extra);
  }

  /** Starts a stand-in for a service that is not an engine. Returns its address. */
  public String startService(String target, String domain, String... services) throws Exception {
    return startStandin("service", target, domain, List.of(services), List.of());
  }

  private String startStandin(
      String kind, String target, String domain, List<String> serves, List<String> extra)
      throws Exception {
    List<String> command =
        new ArrayList<>(
            Repository.javaCommand("standins", "dev.caroblb.standins.process.StandinMain"));
    command.addAll(List.of("--kind", kind, "--target", target, "--domain", domain));
    command.addAll(List.of("--serves", String.join(",", serves)));
    command.addAll(List.of("--entries", String.join(",", addresses())));
    command.addAll(List.of("--token", TARGET_TOKEN));
    command.addAll(extra);
    ManagedProcess process = ManagedProcess.start(target, command, folder);
    standins.put(target, process);
    Wait.until(
        target + " listens", START_TIMEOUT_MS, () -> process.output().contains("ready address="));
    String output = process.output();
    String address =
        output.substring(output.indexOf("ready address=") + 14).lines().findFirst().orElseThrow();
    standinAddresses.put(target, address);
    return address;
  }

  public ManagedProcess standin(String target) {
    return standins.get(target);
  }

  public String standinAddress(String target) {
    return standinAddresses.get(target);
  }

  /** The first severe log lines of each instance, to be printed after a test. */
  public String severeLogLines() throws IOException {
    StringBuilder text = new StringBuilder();
    for (ManagedProcess process : instances.values()) {
      process
          .output()
          .lines()
          .filter(line -> line.contains("level=SEVERE"))
          .limit(3)
          .forEach(line -> text.append(process.name()).append(": ").append(line).append('\n'));
    }
    return text.toString();
  }

  /** Number of processes that are still running. */
  long running() {
    return Stream.concat(instances.values().stream(), standins.values().stream())
        .filter(ManagedProcess::alive)
        .count();
  }

  @Override
  public void close() throws IOException {
    for (ManagedProcess process : instances.values()) {
      process.close();
    }
    for (ManagedProcess process : standins.values()) {
      process.close();
    }
    copyLogs();
    deleteTree(folder);
  }

  /**
   * Copies the logs of the processes out of the temporary folder, so that a failure that occurs
   * only once can be traced.
   */
  private void copyLogs() throws IOException {
    Path destination =
        Repository.root().resolve("systemtests/target/process-logs").resolve(folder.getFileName());
    Files.createDirectories(destination);
    List<Path> logs;
    try (Stream<Path> files = Files.list(folder)) {
      logs = files.filter(file -> file.toString().endsWith(".log")).toList();
    }
    for (Path log : logs) {
      Files.copy(log, destination.resolve(log.getFileName()));
    }
  }

  private static void deleteTree(Path tree) throws IOException {
    if (!Files.exists(tree)) {
      return;
    }
    List<Path> paths;
    try (Stream<Path> walk = Files.walk(tree)) {
      paths = walk.sorted(Comparator.reverseOrder()).toList();
    }
    for (Path path : paths) {
      Files.delete(path);
    }
  }
}
