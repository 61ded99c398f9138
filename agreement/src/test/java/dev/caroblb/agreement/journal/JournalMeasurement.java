package dev.caroblb.agreement.journal;

import dev.caroblb.agreement.EntryKind;
import dev.caroblb.agreement.LogEntry;
import dev.caroblb.agreement.Snapshot;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.Payload;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;

/**
 * Benchmark of syncs and recovery on the disk of the folder given as the argument. Started
 * manually:
 *
 * <pre>
 * java -cp agreement/target/test-classes:agreement/target/classes:core/target/classes:VAVR_JAR \
 *   dev.caroblb.agreement.journal.JournalMeasurement FOLDER
 * </pre>
 */
final class JournalMeasurement {
  private static final int PAYLOAD_BYTES = 256;
  private static final int STATE_BYTES = 64 * 1024;
  private static final int SNAPSHOT_INTERVAL_ENTRIES = 1_000;
  private static final long SYNC_RUN_MS = 3_000;
  private static final int RECOVERIES = 7;
  private static final List<GroupId> GROUPS = List.of(GroupId.CONTROL);
  private static final Payload PAYLOAD = Payload.copyOf(new byte[PAYLOAD_BYTES]);

  private final Path base;
  private long index;

  private JournalMeasurement(Path base) {
    this.base = base;
  }

  public static void main(String[] args) throws Exception {
    Path base = Files.createTempDirectory(Path.of(args[0]), "journal");
    for (int batch : new int[] {1, 1, 10, 100}) {
      new JournalMeasurement(base).syncs(batch);
    }
    for (int entries : new int[] {100, 1_000, 10_000}) {
      new JournalMeasurement(base).recovery(entries, true);
    }
    new JournalMeasurement(base).recovery(10_000, false);
  }

  private static DataFolder open(Path folder) {
    return DataFolder.open(folder, "measurement", GROUPS)
        .getOrElseThrow(error -> new IllegalStateException(error.message()));
  }

  private void append(JournalHandler handler) {
    index++;
    LogEntry entry = new LogEntry(index, 1, EntryKind.COMMAND, PAYLOAD);
    handler.handle(new JournalMessage.Append(GroupId.CONTROL, index, List.of(entry)), 0);
  }

  private void syncs(int batch) throws Exception {
    try (DataFolder data = open(Files.createTempDirectory(base, "sync"))) {
      JournalHandler handler = new JournalHandler(data, event -> true);
      long start = System.nanoTime();
      long end = start + SYNC_RUN_MS * 1_000_000;
      while (System.nanoTime() < end) {
        for (int i = 0; i < batch; i++) {
          append(handler);
        }
        handler.batchEnd(0);
      }
      double seconds = (System.nanoTime() - start) / 1e9;
      long bytes = index * (RecordCodec.HEADER_BYTES + PAYLOAD_BYTES);
      System.out.printf(
          "sync batch=%d records_per_s=%.0f bytes_per_s=%.0f syncs_per_s=%.0f%n",
          batch, index / seconds, bytes / seconds, (double) index / batch / seconds);
    }
  }

  private void recovery(int entries, boolean snapshots) throws Exception {
    Path folder = Files.createTempDirectory(base, "recovery");
    try (DataFolder data = open(folder)) {
      JournalHandler handler = new JournalHandler(data, event -> true);
      while (index < entries) {
        append(handler);
        if (snapshots && index % SNAPSHOT_INTERVAL_ENTRIES == 0 && index < entries) {
          Payload state = Payload.copyOf(new byte[STATE_BYTES]);
          Snapshot snapshot = new Snapshot(index, 1, List.of(), state);
          handler.handle(
              new JournalMessage.SaveSnapshot(GroupId.CONTROL, index, snapshot, true), 0);
        }
        if (index % 100 == 0) {
          handler.batchEnd(0);
        }
      }
      handler.batchEnd(0);
    }
    double[] times = new double[RECOVERIES];
    for (int i = 0; i < RECOVERIES; i++) {
      long start = System.nanoTime();
      open(folder).close();
      times[i] = (System.nanoTime() - start) / 1e6;
    }
    double first = times[0];
    Arrays.sort(times);
    System.out.printf(
        "recovery entries=%d snapshots=%s first_ms=%.1f median_ms=%.1f max_ms=%.1f%n",
        entries, snapshots, first, times[RECOVERIES / 2], times[RECOVERIES - 1]);
  }
}
