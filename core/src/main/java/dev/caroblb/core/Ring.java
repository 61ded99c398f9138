package dev.caroblb.core;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Bounded queue between duties. Producers never block: a full queue rejects the message and counts
 * it. The consumer blocks until a message arrives or its timeout expires.
 */
public final class Ring<T> implements Outlet<T> {
  private final String name;
  private final ArrayBlockingQueue<T> queue;
  private final LongAdder rejected = new LongAdder();

  public Ring(String name, int capacity) {
    this.name = name;
    this.queue = new ArrayBlockingQueue<>(capacity);
  }

  public String name() {
    return name;
  }

  @Override
  public boolean offer(T message) {
    if (queue.offer(message)) {
      return true;
    }
    rejected.increment();
    return false;
  }

  /** Waits up to {@code timeoutMs} for the next message. */
  public Optional<T> poll(long timeoutMs) throws InterruptedException {
    return Optional.ofNullable(queue.poll(timeoutMs, TimeUnit.MILLISECONDS));
  }

  /** Moves up to {@code max} queued messages to {@code target} without blocking. */
  public int drainTo(Collection<? super T> target, int max) {
    return queue.drainTo(target, max);
  }

  /** Number of queued messages. */
  public int depth() {
    return queue.size();
  }

  /** Number of messages rejected because the queue was full. */
  public long rejected() {
    return rejected.sum();
  }
}
