package dev.caroblb.idempotency.codec;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Payload;
import dev.caroblb.core.WorkspaceId;
import dev.caroblb.idempotency.Attempt;
import dev.caroblb.idempotency.CallKey;
import dev.caroblb.idempotency.Hash128;
import dev.caroblb.idempotency.KeyCommand;
import dev.caroblb.idempotency.KeyLimits;
import dev.caroblb.idempotency.StoredOutcome;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;

/**
 * Benchmark of memory per key record and CPU time per command. Run manually; not part of the tests.
 */
public final class KeyTableMeasurement {
  private static final long WALL_MS = 1_800_000_000_000L;
  private static final int WORKSPACES = 22_000;
  private static final int ENTRIES = 1_100;
  private static final int BATCH = 1_000;
  private static final int[] SIZES = {10_000, 100_000, 1_000_000};

  /** Typical size of a ledger response, a short JSON text. */
  private static final int OUTCOME_BYTES = 200;

  private final KeyStateMachine machine = new KeyStateMachine(new KeyLimits(2_000_000, 1L << 32));
  private final KeyCommandFormat format = new KeyCommandFormat();

  private KeyTableMeasurement() {}

  /** Runs each size twice; the first round is a warm-up. */
  public static void main(String[] args) {
    for (int round = 0; round < 2; round++) {
      for (int size : SIZES) {
        new KeyTableMeasurement().run(size, round);
      }
    }
  }

  private void run(int size, int round) {
    long emptyBytes = usedBytes();
    String reserve = time(size, KeyTableMeasurement::reserve);
    long reservedBytes = usedBytes();
    String done = time(size, KeyTableMeasurement::finish);
    long doneBytes = usedBytes();
    long startNs = System.nanoTime();
    Payload snapshot = machine.snapshot();
    long snapshotNs = System.nanoTime() - startNs;
    long restoreNs = restoreNs(snapshot);
    System.out.printf(
        "round=%d keys=%d bytes_per_reserved_key=%.1f bytes_per_done_key=%.1f reserve[%s]"
            + " record[%s] snapshot_bytes_per_key=%.1f snapshot_ms=%d restore_ms=%d%n",
        round,
        machine.table().records(),
        (reservedBytes - emptyBytes) / (double) size,
        (doneBytes - emptyBytes) / (double) size,
        reserve,
        done,
        snapshot.size() / (double) size,
        snapshotNs / 1_000_000,
        restoreNs / 1_000_000);
  }

  private long restoreNs(Payload snapshot) {
    long startNs = System.nanoTime();
    new KeyStateMachine(KeyLimits.DEFAULT).restore(snapshot);
    return System.nanoTime() - startNs;
  }

  /**
   * Measures the mean CPU time of a command and the longest elapsed time of one, including decoding
   * and encoding.
   */
  private String time(int size, IntFunction<KeyCommand> maker) {
    long cpuNs = 0;
    long longestNs = 0;
    for (int start = 0; start < size; start += BATCH) {
      List<Payload> commands = new ArrayList<>(BATCH);
      for (int i = start; i < start + BATCH; i++) {
        commands.add(format.encode(maker.apply(i)));
      }
      long batchNs = cpuNowNs();
      for (Payload command : commands) {
        long startNs = System.nanoTime();
        machine.apply(command);
        longestNs = Math.max(longestNs, System.nanoTime() - startNs);
      }
      cpuNs += cpuNowNs() - batchNs;
    }
    return String.format(
        "cpu_us=%.2f longest_ms=%.1f", cpuNs / 1_000.0 / size, longestNs / 1_000_000.0);
  }

  private static long cpuNowNs() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long usedBytes() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static CallKey key(int number) {
    return new CallKey(
        new WorkspaceId("workspace-" + number % WORKSPACES),
        String.format("%d-%08d-4a3b-9c1d-%012d", WALL_MS + number / 10, number, number));
  }

  private static Attempt attempt(int number) {
    return new Attempt(new InstanceId("entry-" + number % ENTRIES), WALL_MS, number);
  }

  private static KeyCommand reserve(int number) {
    return new KeyCommand.Reserve(
        key(number), attempt(number), new Hash128(number, ~number), WALL_MS + number / 10);
  }

  private static KeyCommand finish(int number) {
    Payload body = Payload.copyOf(new byte[OUTCOME_BYTES]);
    return new KeyCommand.RecordOutcome(
        key(number), attempt(number), StoredOutcome.of(200, "application/json", body));
  }
}
