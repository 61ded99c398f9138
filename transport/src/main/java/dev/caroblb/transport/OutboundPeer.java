package dev.caroblb.transport;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.MillisClock;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/** Dialed connection to another instance, with a bounded send queue. */
final class OutboundPeer {
  private static final int MAX_QUEUED_FRAMES = 4_096;

  /**
   * Two frames of the maximum size. Frames of a peer that reads slowly are dropped above it, since
   * a few thousand long frames exceed the memory of the process.
   */
  static final long MAX_QUEUED_BYTES = 2L * FrameCodec.MAX_FRAME_BYTES;

  private static final long MIN_BACKOFF_MS = 50;
  private static final long MAX_BACKOFF_MS = 1_000;

  /**
   * A connection that accepts no bytes for this time is closed and dialed again: after a partition
   * the kernel may otherwise wait minutes before it retransmits.
   */
  private static final long WRITE_STALL_TIMEOUT_MS = 2_000;

  /**
   * The receiver acknowledges what it reads with single bytes, within half a second. If none
   * arrives for this time after a write, the connection is closed and dialed again: writes to a
   * connection whose packets are lost succeed until the send buffer is full.
   */
  static final long ACKNOWLEDGE_TIMEOUT_MS = 1_500;

  private final InstanceId peer;
  private final InetSocketAddress address;
  private final Hello hello;
  private final MillisClock clock;
  private final TransportCounters counters;
  private final ArrayBlockingQueue<ByteBuffer> queue = new ArrayBlockingQueue<>(MAX_QUEUED_FRAMES);

  private final AtomicLong queuedBytes = new AtomicLong();
  private final ByteBuffer acknowledgements = ByteBuffer.allocate(64);
  private SocketChannel channel;
  private SelectionKey key;
  private ByteBuffer writing;
  private boolean connected;
  private long nextDialMs;
  private long backoffMs = MIN_BACKOFF_MS;
  private long lastProgressMs;
  private long unacknowledgedSinceMs = Long.MAX_VALUE;
  private volatile long lastUsedMs;

  OutboundPeer(
      InstanceId peer,
      InetSocketAddress address,
      Hello hello,
      MillisClock clock,
      TransportCounters counters) {
    this.peer = peer;
    this.address = address;
    this.hello = hello;
    this.clock = clock;
    this.counters = counters;
    this.lastUsedMs = clock.nowMs();
  }

  /** Whether the peer needs maintenance at the short interval, even without selector events. */
  boolean needsFrequentMaintenance() {
    return !connected || writing != null || !queue.isEmpty();
  }

  /** Milliseconds since the last message to this peer. */
  long idleMs(long nowMs) {
    return nowMs - lastUsedMs;
  }

  InstanceId peer() {
    return peer;
  }

  /** Queues a frame; returns false if the queue is too long. May be called from any thread. */
  boolean enqueue(ByteBuffer frame) {
    lastUsedMs = clock.nowMs();
    int bytes = frame.remaining();
    boolean fits = queuedBytes.addAndGet(bytes) <= MAX_QUEUED_BYTES;
    if (fits && queue.offer(frame)) {
      return true;
    }
    queuedBytes.addAndGet(-bytes);
    counters.countDropped();
    return false;
  }

  /**
   * Dials when due, closes stalled connections, and registers for write readiness when frames are
   * queued.
   */
  void maintain(Selector selector) {
    long nowMs = clock.nowMs();
    if (channel == null) {
      dialIfDue(selector, nowMs);
      return;
    }
    if (connected && nowMs - ACKNOWLEDGE_TIMEOUT_MS >= unacknowledgedSinceMs) {
      disconnect();
      return;
    }
    if (!needsFrequentMaintenance()) {
      lastProgressMs = nowMs;
      return;
    }
    if (nowMs - lastProgressMs >= WRITE_STALL_TIMEOUT_MS) {
      disconnect();
      return;
    }
    if (connected) {
      key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
    }
  }

  private void dialIfDue(Selector selector, long nowMs) {
    if (nowMs < nextDialMs) {
      return;
    }
    lastProgressMs = nowMs;
    try {
      channel = SocketChannel.open();
      channel.configureBlocking(false);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      key = channel.register(selector, SelectionKey.OP_CONNECT, this);
      if (channel.connect(address)) {
        onConnected();
      }
    } catch (IOException e) {
      disconnect();
    }
  }

  /** Handles a selector event of the connection. */
  void onReady() {
    try {
      if (key.isConnectable() && channel.finishConnect()) {
        onConnected();
      }
      if (key.isValid() && key.isReadable()) {
        readAcknowledgements();
      }
      if (key.isValid() && key.isWritable()) {
        write();
      }
    } catch (IOException e) {
      disconnect();
    }
  }

  private void onConnected() {
    connected = true;
    backoffMs = MIN_BACKOFF_MS;
    lastProgressMs = clock.nowMs();
    unacknowledgedSinceMs = Long.MAX_VALUE;
    writing = FrameCodec.encode(hello);
    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
  }

  /** Reads acknowledgements; the receiver of a connection sends nothing else on it. */
  private void readAcknowledgements() throws IOException {
    acknowledgements.clear();
    int bytes = channel.read(acknowledgements);
    if (bytes < 0) {
      throw new IOException("the peer closed the connection");
    }
    if (bytes > 0) {
      unacknowledgedSinceMs = Long.MAX_VALUE;
    }
  }

  private void write() throws IOException {
    while (true) {
      if (writing == null) {
        writing = poll();
      }
      if (writing == null) {
        key.interestOps(SelectionKey.OP_READ);
        return;
      }
      int bytes = channel.write(writing);
      if (bytes > 0) {
        lastProgressMs = clock.nowMs();
        unacknowledgedSinceMs = Math.min(unacknowledgedSinceMs, lastProgressMs);
      }
      if (writing.hasRemaining()) {
        return;
      }
      counters.countSent(writing.capacity());
      writing = null;
    }
  }

  /** Closes the connection; a partly written frame and all queued frames are dropped. */
  void disconnect() {
    if (writing != null && connected) {
      counters.countDropped();
    }
    writing = null;
    connected = false;
    SelectableChannels.closeQuietly(channel);
    channel = null;
    nextDialMs = clock.nowMs() + backoffMs;
    backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    dropQueued();
  }

  /** Frames queued for a lost connection are stale; the modules resend what is still needed. */
  private void dropQueued() {
    while (poll() != null) {
      counters.countDropped();
    }
  }

  /** The next frame, or null. */
  private ByteBuffer poll() {
    ByteBuffer frame = queue.poll();
    if (frame != null) {
      queuedBytes.addAndGet(-frame.remaining());
    }
    return frame;
  }
}
