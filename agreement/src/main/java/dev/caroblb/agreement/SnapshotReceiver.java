package dev.caroblb.agreement;

import dev.caroblb.core.Payload;
import java.io.ByteArrayOutputStream;
import java.util.Optional;

/** Assembles a snapshot from its chunks. */
final class SnapshotReceiver {
  private final ByteArrayOutputStream received = new ByteArrayOutputStream();
  private String source = "";
  private long lastIndex;
  private long term;

  /** Adds a chunk; returns the snapshot once it is complete. */
  Optional<Snapshot> receive(PeerMessage.SnapshotChunk chunk) {
    if (!continues(chunk)) {
      start(chunk);
    }
    if (chunk.offset() != received.size()) {
      return Optional.empty();
    }
    received.writeBytes(chunk.bytes().toBytes());
    if (received.size() < chunk.totalBytes()) {
      return Optional.empty();
    }
    Payload state = Payload.copyOf(received.toByteArray());
    clear();
    return Optional.of(new Snapshot(chunk.lastIndex(), chunk.lastTerm(), chunk.members(), state));
  }

  /** Number of contiguous bytes received. */
  long receivedBytes() {
    return received.size();
  }

  private boolean continues(PeerMessage.SnapshotChunk chunk) {
    return chunk.lastIndex() == lastIndex
        && chunk.term() == term
        && chunk.incarnation().equals(source);
  }

  private void start(PeerMessage.SnapshotChunk chunk) {
    clear();
    lastIndex = chunk.lastIndex();
    term = chunk.term();
    source = chunk.incarnation();
  }

  private void clear() {
    received.reset();
    source = "";
  }
}
