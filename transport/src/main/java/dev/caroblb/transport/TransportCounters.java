package dev.caroblb.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counts sent, dropped and malformed frames and refused connections. */
public final class TransportCounters {
  private final LongAdder sentFrames = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder droppedFrames = new LongAdder();
  private final LongAdder refusedConnections = new LongAdder();
  private final LongAdder malformedFrames = new LongAdder();

  void countSent(int bytes) {
    sentFrames.increment();
    sentBytes.add(bytes);
  }

  void countDropped() {
    droppedFrames.increment();
  }

  void countRefusedConnection() {
    refusedConnections.increment();
  }

  void countMalformed() {
    malformedFrames.increment();
  }

  public long sentFrames() {
    return sentFrames.sum();
  }

  public long sentBytes() {
    return sentBytes.sum();
  }

  /**
   * Frames dropped because they were too large, the queue of a peer was full or its connection was
   * lost.
   */
  public long droppedFrames() {
    return droppedFrames.sum();
  }

  public long refusedConnections() {
    return refusedConnections.sum();
  }

  public long malformedFrames() {
    return malformedFrames.sum();
  }
}
