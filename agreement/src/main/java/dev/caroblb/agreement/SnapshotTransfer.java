package dev.caroblb.agreement;

import dev.caroblb.core.Payload;
import java.nio.ByteBuffer;

/** Tracks the transfer of a snapshot to one replica, one chunk at a time. */
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

  /** Whether the chunk at the offset was not sent yet, or its response is overdue. */
  boolean due(long nowMs) {
    return nowMs - chunkSentMs >= ConsensusConstants.CHUNK_RETRY_MS;
  }

  void sent(long nowMs) {
    chunkSentMs = nowMs;
  }

  /** Records that the replica has received the given number of bytes. */
  void received(long bytes) {
    offset = Math.max(0, Math.min(bytes, snapshot.state().size()));
    chunkSentMs = NEVER_MS;
  }

  /** Returns the next chunk, which starts at the offset. */
  Payload chunk() {
    ByteBuffer bytes = snapshot.state().buffer();
    bytes.position((int) offset);
    byte[] chunk = new byte[Math.min(ConsensusConstants.CHUNK_BYTES, bytes.remaining())];
    bytes.get(chunk);
    return Payload.copyOf(chunk);
  }
}
