package dev.caroblb.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;

/**
 * Counts the memory that the buffers of a process use together, against a common bound. May be used
 * from any thread.
 */
public final class MemoryAccount {
  /** Each action that continues is expected to use this much memory soon. */
  private static final long BYTES_PER_ACTION = 65_536;

  /** New work gets seven eighths, so that what has begun can be completed with the rest. */
  private static final long NEW_WORK_NUMERATOR = 7;

  private static final long NEW_WORK_DENOMINATOR = 8;

  private final long limitBytes;
  private final Executor executor;
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
  private Optional<Object> exceeding = Optional.empty();
  private long usedBytes;

  /**
   * @param executor runs waiting actions, outside of the locks of those that release memory
   */
  public MemoryAccount(long limitBytes, Executor executor) {
    this.limitBytes = limitBytes;
    this.executor = executor;
  }

  /** An account that never is full. */
  public static MemoryAccount unbounded() {
    return new MemoryAccount(Long.MAX_VALUE, Runnable::run);
  }

  /** Whether new work may begin. */
  public synchronized boolean admitsNew() {
    return usedBytes < limitBytes / NEW_WORK_DENOMINATOR * NEW_WORK_NUMERATOR;
  }

  /** Whether three quarters of the bound are in use. */
  public synchronized boolean nearlyFull() {
    return usedBytes >= limitBytes / 4 * 3;
  }

  /** Whether the bound is reached. */
  public synchronized boolean full() {
    return usedBytes >= limitBytes;
  }

  /** Whether half of the bound was taken beyond it. */
  public synchronized boolean exceeded() {
    return usedBytes - limitBytes > limitBytes / 2;
  }

  /**
   * Whether a holder of memory may take more at the bound. One may, until it is finished: otherwise
   * holders that all need more to be finished would wait for each other.
   */
  public synchronized boolean mayExceed(Object holder) {
    if (exceeding.isEmpty()) {
      exceeding = Optional.of(holder);
    }
    return exceeding.get() == holder;
  }

  /** Lets another holder take memory at the bound, after this one gave back its own. */
  public void finished(Object holder) {
    Optional<Runnable> next;
    synchronized (this) {
      if (exceeding.isEmpty() || exceeding.get() != holder) {
        return;
      }
      exceeding = Optional.empty();
      next = Optional.ofNullable(waiting.pollFirst());
    }
    next.ifPresent(executor::execute);
  }

  /** Memory in use, in bytes. */
  public synchronized long usedBytes() {
    return usedBytes;
  }

  /** Counts memory that is in use already, also beyond the bound. */
  public synchronized void take(long bytes) {
    usedBytes += bytes;
  }

  /** Gives memory back, and lets waiting actions continue in their order. */
  public void release(long bytes) {
    List<Runnable> ready = new ArrayList<>();
    synchronized (this) {
      usedBytes -= bytes;
      long freeBytes = limitBytes - usedBytes;
      while (freeBytes > 0 && !waiting.isEmpty()) {
        ready.add(waiting.removeFirst());
        freeBytes -= BYTES_PER_ACTION;
      }
    }
    ready.forEach(executor::execute);
  }

  /** Runs an action as soon as the account is not full. */
  public void whenFree(Runnable action) {
    synchronized (this) {
      if (usedBytes >= limitBytes) {
        waiting.add(action);
        return;
      }
    }
    executor.execute(action);
  }

  /** Removes an action that does not wait any more. */
  public synchronized void remove(Runnable action) {
    waiting.remove(action);
  }
}
