package dev.caroblb.http;

import dev.caroblb.core.Payload;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
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

  /** Beyond what an exchange discards before it closes the connection. */
  private static final int DISCARD_WINDOW_BYTES = Integer.MAX_VALUE / 2;

  private final ListenerMemory memory;
  private final Runnable onPauseExpired;
  private final Runnable resume = this::resume;
  private final List<ByteBuffer> parts = new ArrayList<>();
  private Optional<CapacityChannel> capacity = Optional.empty();
  private boolean exempt;
  private int size;
  private int closedWindowBytes;
  private boolean paused;
  private boolean expires;
  private boolean released;

  /**
   * @param onPauseExpired runs, on another thread, if the account was full for too long
   */
  RequestBody(ListenerMemory memory, Runnable onPauseExpired) {
    this.memory = memory;
    this.onPauseExpired = onPauseExpired;
  }

  synchronized int size() {
    return size;
  }

  /** Sets the declared length; negative if there is none. */
  synchronized void declare(long bytes) {
    exempt = memory.exempt(bytes);
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
      byte[] bytes = new byte[source.remaining()];
      source.get(bytes);
      closedWindowBytes += bytes.length;
      if (released) {
        return;
      }
      parts.add(ByteBuffer.wrap(bytes));
      size += bytes.length;
      memory.account().take(bytes.length);
      pause = !exempt && memory.account().full() && !memory.account().mayExceed(this);
      if (pause) {
        paused = true;
        expireLater();
      }
    }
    if (pause) {
      memory.account().remove(resume);
      memory.account().whenFree(resume);
      forgetUnlessPaused();
      return;
    }
    reopenWindow();
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
    onPauseExpired.run();
  }

  private void resume() {
    synchronized (this) {
      paused = false;
    }
    try {
      reopenWindow();
    } catch (IOException | RuntimeException e) {
      // The connection is closed; the exchange is told so.
    }
  }

  private void reopenWindow() throws IOException {
    int bytes;
    synchronized (this) {
      bytes = closedWindowBytes;
      closedWindowBytes = 0;
    }
    if (bytes > 0 && capacity.isPresent()) {
      capacity.get().update(bytes);
    }
  }

  /** The complete body. Its memory stays counted. */
  synchronized Payload complete() {
    paused = false;
    memory.account().remove(resume);
    if (!memory.account().exceeded()) {
      memory.account().finished(this);
    }
    Payload body = Payload.concat(parts);
    parts.clear();
    return body;
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
      parts.clear();
    }
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
