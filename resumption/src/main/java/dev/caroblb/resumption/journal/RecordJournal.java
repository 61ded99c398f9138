package dev.caroblb.resumption.journal;

import dev.caroblb.agreement.journal.FileAccess;
import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.MillisClock;
import dev.caroblb.resumption.PeerMessage;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/**
 * Writes records of streams to disk. A process that is killed loses none that it has written, a
 * loss of power those of the last moments. A disk that fails costs the durability of records for as
 * long as it does; the process goes on.
 */
public final class RecordJournal implements DutyHandler<PeerMessage.StreamBegan> {
  private static final System.Logger LOGGER = System.getLogger(RecordJournal.class.getName());
  private static final long MAX_FILE_BYTES = 4 << 20;
  private static final long SYNC_INTERVAL_MS = 500;

  /** Pause after a failure. */
  private static final long RETRY_MS = 5_000;

  /** Records are kept longer by this, since the wall clock may have been stepped meanwhile. */
  private static final long CLOCK_STEP_MS = 10_000;

  private final RecordFiles files;
  private final MillisClock clock;
  private final ByteArrayOutputStream batch = new ByteArrayOutputStream();
  private long syncAtMs = Long.MAX_VALUE;
  private long pausedUntilMs = Long.MIN_VALUE;

  public RecordJournal(FileAccess files, Path folder, MillisClock clock) {
    this.files = new RecordFiles(files, folder, MAX_FILE_BYTES);
    this.clock = clock;
  }

  /** Reads the records of earlier processes; called once, before any are written. */
  public List<PeerMessage.StreamBegan> restore() {
    try {
      List<PeerMessage.StreamBegan> restored = files.read(clock.wallMs() - CLOCK_STEP_MS);
      LOGGER.log(
          System.Logger.Level.INFO,
          LogLine.of("resumption.restored").with("records", restored.size()).toString());
      return restored;
    } catch (IOException e) {
      logFailure("read", e);
      return List.of();
    }
  }

  @Override
  public void handle(PeerMessage.StreamBegan began, long nowMs) {
    if (nowMs >= pausedUntilMs) {
      batch.writeBytes(files.encode(began, clock.wallMs()));
    }
  }

  @Override
  public void batchEnd(long nowMs) {
    if (batch.size() == 0) {
      return;
    }
    try {
      files.append(batch.toByteArray());
      syncAtMs = Math.min(syncAtMs, nowMs + SYNC_INTERVAL_MS);
    } catch (IOException e) {
      failed("write", e, nowMs);
    } finally {
      batch.reset();
    }
  }

  @Override
  public void tick(long nowMs) {
    if (nowMs < syncAtMs) {
      return;
    }
    syncAtMs = Long.MAX_VALUE;
    try {
      files.sync();
    } catch (IOException e) {
      failed("sync", e, nowMs);
    }
  }

  private void failed(String operation, IOException cause, long nowMs) {
    logFailure(operation, cause);
    pausedUntilMs = nowMs + RETRY_MS;
    syncAtMs = Long.MAX_VALUE;
    close();
  }

  private static void logFailure(String operation, IOException cause) {
    LOGGER.log(
        System.Logger.Level.WARNING,
        LogLine.of("resumption.journal_failed")
            .with("operation", operation)
            .with("cause", cause)
            .with("remedy", "free space on the disk of the data folder or replace it")
            .toString());
  }

  @Override
  public long nextTickMs() {
    return syncAtMs;
  }

  /** Closes the file; the duty must have ended. */
  public void close() {
    try {
      files.close();
    } catch (IOException e) {
      logFailure("close", e);
    }
  }
}
