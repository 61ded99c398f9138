package dev.caroblb.agreement;

import dev.caroblb.core.Payload;
import java.nio.ByteBuffer;

/** Sends one snapshot to one replica, a chunk at a time. */
final class SnapshotTransfer {
  private static final long NEVER_MS = Long.MIN_VALUE / 2;

  private final Snapshot snapshot;
  private long offset;
  private long chunkSentMs = NEVER_MS;

  SnapshotTransfer(Snapshot snapshot) {
    this.snapshot = snapshot;
  }

  Snapshot snapshot() {
    return snapshot;
  }

  long offset() {
    return offset;
  }

  /** Whether the chunk at the offset was never sent, or not answered in time. */
  boolean due(long nowMs) {
    return nowMs - chunkSentMs >= Timing.CHUNK_RETRY_MS;
  }

  void sent(long nowMs) {
    chunkSentMs = nowMs;
  }

  /** The replica holds the bytes before the given offset. */
  void received(long bytes) {
    offset = Math.max(0, Math.min(bytes, snapshot.state().size()));
    chunkSentMs = NEVER_MS;
  }

  /** Bytes from the offset on, at most the size of a chunk. */
  Payload chunk() {
    ByteBuffer bytes = snapshot.state().buffer();
    bytes.position((int) offset);
    byte[] chunk = new byte[Math.min(Timing.CHUNK_BYTES, bytes.remaining())];
    bytes.get(chunk);
    return Payload.copyOf(chunk);
  }
}
