package dev.caroblb.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * An actor: one thread with a bounded queue of messages, which it passes to its {@link
 * DutyHandler}. The thread blocks until a message arrives or the next tick is due.
 */
public final class Duty<M> implements Outlet<M>, AutoCloseable {
  private static final System.Logger LOGGER = System.getLogger(Duty.class.getName());
  private static final long MAX_WAIT_MS = 1_000;
  private static final int MAX_BATCH = 256;
  private static final long STOP_TIMEOUT_MS = 5_000;

  private final Ring<M> ring;
  private final DutyHandler<M> handler;
  private final MillisClock clock;
  private final ExecutorService executor;
  private final LongAdder faults = new LongAdder();
  private final Object waitLock = new Object();
  private boolean stopped;
  private boolean waiting;
  private Thread thread;

  public Duty(String name, int capacity, DutyHandler<M> handler, MillisClock clock) {
    this.ring = new Ring<>(name, capacity);
    this.handler = handler;
    this.clock = clock;
    this.executor = Executors.newSingleThreadExecutor(task -> new Thread(task, name));
  }

  /** Starts the thread of the duty. */
  public void start() {
    executor.execute(this::run);
  }

  public Ring<M> ring() {
    return ring;
  }

  /** Number of exceptions that the handler threw. */
  public long faults() {
    return faults.sum();
  }

  @Override
  public boolean offer(M message) {
    return ring.offer(message);
  }

  private void run() {
    List<M> batch = new ArrayList<>(MAX_BATCH);
    while (enterWait()) {
      try {
        waitForMessages(batch);
      } catch (InterruptedException e) {
        return;
      } finally {
        leaveWait();
      }
      processBatch(batch);
      batch.clear();
    }
  }

  private boolean enterWait() {
    synchronized (waitLock) {
      thread = Thread.currentThread();
      waiting = !stopped;
      return waiting;
    }
  }

  private void leaveWait() {
    synchronized (waitLock) {
      waiting = false;
    }
  }

  /**
   * Interrupts the thread only while it waits for messages: an interrupt during a file operation
   * would close the file channel.
   */
  private void requestStop() {
    synchronized (waitLock) {
      stopped = true;
      if (waiting) {
        thread.interrupt();
      }
    }
  }

  private void waitForMessages(List<M> batch) throws InterruptedException {
    long waitMs = Math.max(0, Math.min(handler.nextTickMs() - clock.nowMs(), MAX_WAIT_MS));
    Optional<M> first = ring.poll(waitMs);
    if (first.isEmpty()) {
      return;
    }
    batch.add(first.get());
    ring.drainTo(batch, MAX_BATCH - 1);
  }

  private void processBatch(List<M> batch) {
    for (M message : batch) {
      guard(() -> handler.handle(message, clock.nowMs()));
    }
    if (!batch.isEmpty()) {
      guard(() -> handler.batchEnd(clock.nowMs()));
    }
    if (handler.nextTickMs() <= clock.nowMs()) {
      guard(() -> handler.tick(clock.nowMs()));
    }
  }

  /**
   * Logs and counts a fault, so that one faulty message does not end the thread. That includes
   * errors that concern only this message: a stack overflow, or a class that cannot be loaded.
   */
  private void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | StackOverflowError | LinkageError e) {
      faults.increment();
      LOGGER.log(
          System.Logger.Level.ERROR,
          LogLine.of("duty.fault").with("duty", ring.name()).with("error", e).toString(),
          e);
    }
  }

  @Override
  public void close() {
    requestStop();
    executor.shutdown();
    try {
      if (!executor.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        LOGGER.log(
            System.Logger.Level.WARNING,
            LogLine.of("duty.stop_timeout").with("duty", ring.name()).toString());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
