package dev.caroblb.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/**
 * Counts the memory that the buffers of a process use together, against a common bound. May be used
 * from any thread.
 */
public final class MemoryAccount {
  /** Each action that continues is expected to use this much memory soon. */
  private static final long BYTES_PER_ACTION = 65_536;

  /** New work gets three quarters, so that what has begun can be completed with the rest. */
  private static final long NEW_WORK_NUMERATOR = 3;

  private static final long NEW_WORK_DENOMINATOR = 4;

  private final long limitBytes;
  private final Executor executor;
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
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

  /** Whether the bound is reached. */
  public synchronized boolean full() {
    return usedBytes >= limitBytes;
  }

  /** Whether what was taken beyond the bound is as large as the bound. */
  public synchronized boolean exceeded() {
    return usedBytes - limitBytes > limitBytes;
  }

  /** Memory in use, in bytes. */
  public synchronized long usedBytes() {
    return usedBytes;
  }

  /** Takes memory if the bound permits; returns false and takes nothing otherwise. */
  public synchronized boolean reserve(long bytes) {
    if (usedBytes + bytes > limitBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
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
