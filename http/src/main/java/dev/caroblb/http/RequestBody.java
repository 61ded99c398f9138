package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.nio.CapacityChannel;

/**
 * A request body while it arrives. Counts its bytes in the memory account until the exchange ends,
 * and is not read on while the account is full.
 */
final class RequestBody {
  /** Bytes that a caller may send before the first of them are processed. */
  private static final int WINDOW_BYTES = 65_536;

  /** Part of the window that is reopened at once, rather than after each part. */
  private static final int MIN_UPDATE_BYTES = WINDOW_BYTES / 2;

  /** Beyond what an exchange discards before it closes the connection. */
  private static final int DISCARD_WINDOW_BYTES = Integer.MAX_VALUE / 2;

  private final ListenerMemory memory;
  private final Runnable reject;
  private final Runnable resume = this::resume;
  private final BodyBuffer buffer = new BodyBuffer();
  private Optional<CapacityChannel> capacity = Optional.empty();
  private boolean shortBody;
  private int size;
  private int closedWindowBytes;
  private int unnotedBytes;
  private boolean paused;
  private boolean expires;
  private boolean released;

  /**
   * @param reject rejects the request, on another thread, if the account was full for too long or
   *     the body is given up
   */
  RequestBody(ListenerMemory memory, Runnable reject) {
    this.memory = memory;
    this.reject = reject;
  }

  synchronized int size() {
    return size;
  }

  /** Sets the declared length; negative if there is none. */
  synchronized void declare(long bytes) {
    shortBody = memory.isShort(bytes);
    memory.bodies().progressed(this);
  }

  void attach(CapacityChannel channel) throws IOException {
    boolean discards;
    synchronized (this) {
      if (capacity.isPresent()) {
        return;
      }
      capacity = Optional.of(channel);
      discards = released;
    }
    channel.update(discards ? DISCARD_WINDOW_BYTES : WINDOW_BYTES);
  }

  /** Adds a part; the caller may send as much again once memory is free. */
  void add(ByteBuffer source) throws IOException {
    boolean pause;
    synchronized (this) {
      int bytes = source.remaining();
      closedWindowBytes += bytes;
      if (released) {
        source.position(source.limit());
        return;
      }
      buffer.add(source);
      size += bytes;
      noteProgress(bytes);
      memory.account().take(bytes);
      pause = !shortBody && memory.account().full() && !memory.account().mayExceed(this);
      if (pause) {
        paused = true;
        memory.bodies().remove(this);
        expireLater();
      }
    }
    memory.reclaim();
    if (pause) {
      memory.account().remove(resume);
      memory.account().whenFree(resume);
      forgetUnlessPaused();
      return;
    }
    reopenWindow(MIN_UPDATE_BYTES);
  }

  private void noteProgress(int bytes) {
    unnotedBytes += bytes;
    if (unnotedBytes >= BegunBodies.PROGRESS_BYTES) {
      unnotedBytes = 0;
      memory.bodies().progressed(this);
    }
  }

  /** Rejects the request, on another thread: the connection is not that of the calling one. */
  void giveUp() {
    CompletableFuture<Void> unused = CompletableFuture.runAsync(reject);
  }

  /** Removes the waiting action of a body that ended meanwhile; it would use up a wake-up. */
  private synchronized void forgetUnlessPaused() {
    if (released || !paused) {
      memory.account().remove(resume);
    }
  }

  /** Starts the timeout of a pause; pauses that follow each other closely count as one. */
  private void expireLater() {
    if (expires || memory.pauseTimeoutMs() == Long.MAX_VALUE) {
      return;
    }
    expires = true;
    CompletableFuture.delayedExecutor(memory.pauseTimeoutMs(), TimeUnit.MILLISECONDS)
        .execute(this::expire);
  }

  private void expire() {
    synchronized (this) {
      expires = false;
      if (!paused || released) {
        return;
      }
    }
    reject.run();
  }

  private void resume() {
    synchronized (this) {
      paused = false;
      if (!released) {
        memory.bodies().progressed(this);
      }
    }
    try {
      reopenWindow(1);
    } catch (IOException | RuntimeException e) {
      // The connection is closed; the exchange is told so.
    }
  }

  private void reopenWindow(int minBytes) throws IOException {
    int bytes;
    synchronized (this) {
      if (closedWindowBytes < minBytes) {
        return;
      }
      bytes = closedWindowBytes;
      closedWindowBytes = 0;
    }
    if (capacity.isPresent()) {
      capacity.get().update(bytes);
    }
  }

  /** The complete body. Its memory stays counted. */
  synchronized Payload complete() {
    paused = false;
    memory.bodies().remove(this);
    memory.account().remove(resume);
    if (!memory.account().exceeded()) {
      memory.account().finished(this);
    }
    return buffer.take();
  }

  /** Gives the memory back; further parts are discarded and the rest may be read. */
  void release() {
    int bytes;
    synchronized (this) {
      if (released) {
        return;
      }
      released = true;
      paused = false;
      bytes = size;
      buffer.clear();
    }
    memory.bodies().remove(this);
    memory.account().remove(resume);
    memory.account().release(bytes);
    memory.account().finished(this);
  }

  /** Lets the caller send the rest of a body that is discarded. */
  void openWindow() {
    try {
      if (capacity.isPresent()) {
        capacity.get().update(DISCARD_WINDOW_BYTES);
      }
    } catch (IOException | RuntimeException e) {
      // The connection is closed; the exchange is told so.
    }
  }
}
