package dev.caroblb.daemon;

import dev.caroblb.core.LogLine;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.logging.Handler;
import java.util.logging.LogRecord;

/**
 * Log handler that writes lines on a thread of its own, so that a slow reader of the log never
 * blocks a duty. Lines above the queue capacity or the rate limit are dropped and counted.
 */
final class AsyncLogHandler extends Handler {
  private static final int MAX_LINES = 4_096;

  /** Limits the log volume under load; normal operation writes about a tenth of it. */
  private static final int MAX_LINES_PER_SECOND = 2_000;

  private static final long SECOND_MS = 1_000;
  private static final long CLOSE_TIMEOUT_MS = 500;

  private final PrintStream out;
  private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_LINES);
  private final LongAdder dropped = new LongAdder();
  private final ExecutorService executor =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "log");
            thread.setDaemon(true);
            return thread;
          });
  private long secondStartMs;
  private int linesInSecond;
  private long reportedDropped;
  private volatile boolean closed;

  AsyncLogHandler(PrintStream out) {
    this.out = out;
    executor.execute(this::run);
  }

  @Override
  public void publish(LogRecord record) {
    if (!isLoggable(record)) {
      return;
    }
    if (!withinRate(record.getMillis()) || !lines.offer(getFormatter().format(record))) {
      dropped.increment();
    }
  }

  private synchronized boolean withinRate(long nowMs) {
    if (Math.abs(nowMs - secondStartMs) >= SECOND_MS) {
      secondStartMs = nowMs;
      linesInSecond = 0;
    }
    linesInSecond++;
    return linesInSecond <= MAX_LINES_PER_SECOND;
  }

  /** Number of lines that were dropped. */
  long dropped() {
    return dropped.sum();
  }

  private void run() {
    List<String> batch = new ArrayList<>();
    try {
      while (!closed || !lines.isEmpty()) {
        String first = lines.poll(SECOND_MS, TimeUnit.MILLISECONDS);
        if (first == null) {
          continue;
        }
        batch.add(first);
        lines.drainTo(batch);
        write(batch);
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(List<String> batch) {
    StringBuilder text = new StringBuilder();
    batch.forEach(text::append);
    long total = dropped.sum();
    if (total > reportedDropped) {
      text.append(LogLine.of("log.dropped").with("total", total)).append('\n');
      reportedDropped = total;
    }
    out.print(text);
    out.flush();
  }

  @Override
  public void flush() {}

  /** Writes the queued lines, for up to {@link #CLOSE_TIMEOUT_MS}. */
  @Override
  public void close() {
    closed = true;
    // Wakes the thread if it waits for a line.
    lines.offer("");
    executor.shutdown();
    try {
      executor.awaitTermination(CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
