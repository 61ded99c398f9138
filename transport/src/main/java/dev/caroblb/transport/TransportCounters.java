package dev.caroblb.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counts what the transport sent, dropped and refused. */
public final class TransportCounters {
  private final LongAdder sentFrames = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder droppedFrames = new LongAdder();
  private final LongAdder refusedConnections = new LongAdder();
  private final LongAdder malformedFrames = new LongAdder();

  void sent(int bytes) {
    sentFrames.increment();
    sentBytes.add(bytes);
  }

  void dropped() {
    droppedFrames.increment();
  }

  void refusedConnection() {
    refusedConnections.increment();
  }

  void malformed() {
    malformedFrames.increment();
  }

  public long sentFrames() {
    return sentFrames.sum();
  }

  public long sentBytes() {
    return sentBytes.sum();
  }

  /** Frames given up because the queue of a peer was full or its connection was lost. */
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
