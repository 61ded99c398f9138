package dev.caroblb.soak;

import dev.caroblb.systemtests.ManagedProcess;
import dev.caroblb.systemtests.TestCluster;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stops instances as planned and starts each again when its process has ended, as a supervisor
 * does. Stops of several instances overlap; each has its own thread.
 */
final class InstanceStops {
  /** Signals of a stop in addition to the first one. */
  enum Signals {
    NONE,
    /** A second signal while the instance drains. */
    SECOND,
    /** Another stop right after the instance was started again. */
    AFTER_START
  }

  /** Time after which an instance that waits for its running calls gets a second signal. */
  private static final long DRAIN_TIMEOUT_MS = 20_000;

  /** Shortened drain limit of 10 s, 2 s for final events and 3 s to close. */
  private static final long SHORTENED_TIMEOUT_MS = 15_000;

  private static final long AWAIT_ALL_MS = 120_000;
  private static final int EXIT_STOPPED = 0;

  /** Exit code of a process that had not yet installed its signal handler. */
  private static final int EXIT_TERMINATED_DURING_START = 143;

  private final TestCluster cluster;
  private final FaultHistory history;
  private final Violations violations;
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final List<Future<?>> stops = new ArrayList<>();
  private final Set<String> stopping = new HashSet<>();
  private final Map<String, Integer> logLengthsAtStart = new HashMap<>();
  private final AtomicLong ended = new AtomicLong();

  InstanceStops(TestCluster cluster, FaultHistory history, Violations violations) {
    this.cluster = cluster;
    this.history = history;
    this.violations = violations;
  }

  /** Begins to stop an instance; one that is already being stopped gets another signal. */
  synchronized void begin(String instance, Signals signals, long gapMs) {
    if (!stopping.add(instance)) {
      cluster.instance(instance).terminate();
      return;
    }
    history.stopBegan(instance);
    ManagedProcess process = cluster.instance(instance);
    process.terminate();
    stops.add(executor.submit(() -> stopAndStart(instance, process, signals, gapMs)));
  }

  /** Begins to stop all instances in turn, each after the given gap, without waiting for them. */
  synchronized void beginInTurn(long gapMs) {
    stops.add(
        executor.submit(
            () -> {
              for (String instance : cluster.names()) {
                begin(instance, Signals.NONE, 0);
                TimeUnit.MILLISECONDS.sleep(gapMs);
              }
              return null;
            }));
  }

  /** Starts an instance unless its process is running. */
  synchronized void startIfEnded(String instance) throws Exception {
    if (!cluster.instance(instance).alive()) {
      logLengthsAtStart.put(instance, cluster.instance(instance).output().length());
      cluster.start(instance);
    }
  }

  private Void stopAndStart(String instance, ManagedProcess process, Signals signals, long gapMs)
      throws Exception {
    long beganNanos = System.nanoTime();
    if (signals == Signals.SECOND && process.awaitExit(gapMs).isEmpty()) {
      process.terminate();
    }
    awaitEnd(instance, process, beganNanos);
    startIfEnded(instance);
    if (signals == Signals.AFTER_START) {
      TimeUnit.MILLISECONDS.sleep(gapMs);
      ManagedProcess restarted = cluster.instance(instance);
      restarted.terminate();
      awaitEnd(instance, restarted, beganNanos);
      startIfEnded(instance);
    }
    synchronized (this) {
      history.stopEnded(instance);
      stopping.remove(instance);
    }
    ended.incrementAndGet();
    return null;
  }

  private void awaitEnd(String instance, ManagedProcess process, long beganNanos) throws Exception {
    OptionalInt exit = process.awaitExit(DRAIN_TIMEOUT_MS);
    if (exit.isEmpty()) {
      process.terminate();
      exit = process.awaitExit(SHORTENED_TIMEOUT_MS);
    }
    boolean asPlanned = exit.isPresent() && isPlanned(exit.getAsInt(), instance, process);
    if (!asPlanned && !history.faultSince(instance, beganNanos)) {
      violations.add(
          "a planned stop ends within its limit with exit code 0", instance + " " + exit);
    }
    if (exit.isEmpty()) {
      history.faultBegan(List.of(instance));
      process.kill();
      history.faultEnded(List.of(instance));
    }
  }

  /**
   * Before an instance is started, the signal ends its process at once: it serves no callers yet.
   */
  private synchronized boolean isPlanned(int exit, String instance, ManagedProcess process)
      throws Exception {
    String log = process.output().substring(logLengthsAtStart.getOrDefault(instance, 0));
    return exit == EXIT_STOPPED
        || (exit == EXIT_TERMINATED_DURING_START && !log.contains("event=instance.started"));
  }

  /** Waits until all stopped instances have been started again. */
  void awaitAll() throws Exception {
    for (int i = 0; i < count(); i++) {
      stopAt(i).get(AWAIT_ALL_MS, TimeUnit.MILLISECONDS);
    }
  }

  private synchronized int count() {
    return stops.size();
  }

  private synchronized Future<?> stopAt(int index) {
    return stops.get(index);
  }

  long ended() {
    return ended.get();
  }

  void close() {
    executor.shutdownNow();
  }
}
