package dev.caroblb.core;

import java.util.Collection;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * Bounded queue between duties. Producers never wait: a full ring refuses the message and counts
 * the refusal. The consumer blocks until a message arrives or its timeout passes.
 */
public final class Ring<T> implements Outlet<T> {
  private final String name;
  private final ArrayBlockingQueue<T> queue;
  private final LongAdder refused = new LongAdder();

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
    refused.increment();
    return false;
  }

  /** Waits up to {@code timeoutMs} for the next message. */
  public Optional<T> poll(long timeoutMs) throws InterruptedException {
    return Optional.ofNullable(queue.poll(timeoutMs, TimeUnit.MILLISECONDS));
  }

  /** Moves up to {@code max} waiting messages into {@code target} without waiting. */
  public int drainTo(Collection<? super T> target, int max) {
    return queue.drainTo(target, max);
  }

  /** Number of messages that wait. */
  public int depth() {
    return queue.size();
  }

  /** Number of messages refused because the ring was full. */
  public long refused() {
    return refused.sum();
  }
}
