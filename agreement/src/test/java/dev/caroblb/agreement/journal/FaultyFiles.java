package dev.caroblb.agreement.journal;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * In-memory files that track what was synced. A crash can lose any suffix of unsynced bytes, and
 * any unsynced creation, rename or deletion.
 */
final class FaultyFiles implements FileAccess {
  private final Random random;
  private final Set<Path> locks = new HashSet<>();

  /** Unsynced renames, from the new name to the previous one. */
  private final Map<Path, Path> renamedTo = new HashMap<>();

  private Map<Path, Node> live = new TreeMap<>();
  private Map<Path, Node> durable = new TreeMap<>();
  private int stepsUntilCrash = Integer.MAX_VALUE;
  private long freeBytes = Long.MAX_VALUE;
  private boolean syncFails;
  private int steps;

  FaultyFiles(Random random) {
    this.random = random;
  }

  /** A file or folder; folders have no contents. */
  private static final class Node {
    private final boolean folder;
    private byte[] bytes = new byte[0];
    private byte[] synced = new byte[0];

    Node(boolean folder) {
      this.folder = folder;
    }
  }

  void crashAfter(int count) {
    stepsUntilCrash = count;
  }

  void limitSpace(long bytes) {
    freeBytes = bytes;
  }

  void failSyncs() {
    syncFails = true;
  }

  /** Number of modifying operations so far. */
  int steps() {
    return steps;
  }

  List<Path> filesBelow(Path folder) {
    return live.keySet().stream()
        .filter(path -> path.startsWith(folder) && !live.get(path).folder)
        .toList();
  }

  void replace(Path file, byte[] bytes) {
    Node node = live.computeIfAbsent(file, path -> new Node(false));
    node.bytes = bytes;
    node.synced = bytes;
    durable.put(file, node);
  }

  /** Simulates the end of the process: nothing is lost, and its locks are released. */
  void endProcess() {
    stepsUntilCrash = Integer.MAX_VALUE;
    locks.clear();
  }

  /** Simulates a crash and restart of the machine. */
  void crash() {
    Map<Path, Node> left = new TreeMap<>();
    Set<Path> paths = new HashSet<>(live.keySet());
    paths.addAll(durable.keySet());
    for (Path path : paths) {
      if (renamedTo.containsValue(path)) {
        continue;
      }
      Map<Path, Node> source = random.nextBoolean() ? live : durable;
      copy(path, source, left);
      // A rename is atomic: both of its names are taken from the same state.
      Optional.ofNullable(renamedTo.get(path)).ifPresent(from -> copy(from, source, left));
    }
    left.keySet().removeIf(path -> path.getParent() != null && !parentsIn(left, path));
    left.values().forEach(this::loseUnsynced);
    renamedTo.clear();
    live = left;
    durable = new TreeMap<>(left);
    stepsUntilCrash = Integer.MAX_VALUE;
    locks.clear();
  }

  private static void copy(Path path, Map<Path, Node> source, Map<Path, Node> target) {
    Optional.ofNullable(source.get(path)).ifPresent(node -> target.put(path, node));
  }

  private static boolean parentsIn(Map<Path, Node> nodes, Path path) {
    for (Path p = path.getParent(); p != null && p.getNameCount() > 0; p = p.getParent()) {
      if (!nodes.containsKey(p)) {
        return false;
      }
    }
    return true;
  }

  private void loseUnsynced(Node node) {
    int kept = node.synced.length;
    boolean appended =
        node.bytes.length >= kept && Arrays.equals(node.synced, Arrays.copyOf(node.bytes, kept));
    if (!appended) {
      node.bytes = random.nextBoolean() ? node.bytes : node.synced;
    } else if (node.bytes.length > kept) {
      int size = kept + random.nextInt(node.bytes.length - kept + 1);
      node.bytes = Arrays.copyOf(node.bytes, size);
      // A block that was allocated but not written reads as zeros.
      int zeros = random.nextInt(3) == 0 ? random.nextInt(size - kept + 1) : 0;
      Arrays.fill(node.bytes, size - zeros, size, (byte) 0);
    }
    node.synced = node.bytes;
  }

  private void step() throws IOException {
    if (stepsUntilCrash <= 0) {
      throw new IOException("crashed");
    }
    steps++;
    stepsUntilCrash--;
  }

  @Override
  public void createFolder(Path folder) throws IOException {
    step();
    for (Path p = folder; p != null && p.getNameCount() > 0; p = p.getParent()) {
      live.computeIfAbsent(p, path -> new Node(true));
    }
  }

  @Override
  public List<String> list(Path folder) {
    return live.keySet().stream()
        .filter(path -> folder.equals(path.getParent()))
        .map(path -> path.getFileName().toString())
        .toList();
  }

  @Override
  public Optional<Long> size(Path file) {
    return Optional.ofNullable(live.get(file)).map(node -> (long) node.bytes.length);
  }

  @Override
  public byte[] read(Path file) throws IOException {
    Node node = live.get(file);
    if (node == null) {
      throw new FileNotFoundException(file.toString());
    }
    return node.bytes.clone();
  }

  @Override
  public WritableFile open(Path file) throws IOException {
    step();
    return new OpenNode(live.computeIfAbsent(file, path -> new Node(false)));
  }

  @Override
  public void rename(Path from, Path to) throws IOException {
    step();
    live.put(to, live.remove(from));
    renamedTo.put(to, from);
  }

  @Override
  public void delete(Path file) throws IOException {
    step();
    live.remove(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    step();
    renamedTo.keySet().removeIf(path -> folder.equals(path.getParent()));
    durable.keySet().removeIf(path -> folder.equals(path.getParent()) && !live.containsKey(path));
    live.forEach(
        (path, node) -> {
          if (folder.equals(path.getParent())) {
            durable.put(path, node);
          }
        });
  }

  @Override
  public Optional<AutoCloseable> lock(Path file) throws IOException {
    open(file).close();
    if (!locks.add(file)) {
      return Optional.empty();
    }
    return Optional.of(() -> locks.remove(file));
  }

  private final class OpenNode implements WritableFile {
    private final Node node;

    OpenNode(Node node) {
      this.node = node;
    }

    @Override
    public void write(byte[] bytes) throws IOException {
      step();
      int room = (int) Math.min(bytes.length, freeBytes);
      int written = stepsUntilCrash == 0 ? random.nextInt(room + 1) : room;
      byte[] grown = Arrays.copyOf(node.bytes, node.bytes.length + written);
      System.arraycopy(bytes, 0, grown, node.bytes.length, written);
      node.bytes = grown;
      freeBytes -= written;
      if (room < bytes.length) {
        throw new IOException("No space left on device");
      }
    }

    @Override
    public void truncate(long size) throws IOException {
      step();
      node.bytes = Arrays.copyOf(node.bytes, (int) size);
    }

    @Override
    public void sync() throws IOException {
      step();
      if (syncFails) {
        throw new IOException("Input/output error");
      }
      node.synced = node.bytes;
    }

    @Override
    public void close() {}
  }
}
