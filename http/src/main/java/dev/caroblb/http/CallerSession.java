package dev.caroblb.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SelectionKey;
import java.util.concurrent.locks.Lock;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Session of a caller. Turns end of input into an error: HttpCore treats it as a half-close by a
 * caller that still waits for its response, and detects a closed connection only on the next write.
 *
 * <p>Reads a bounded number of bytes for each event. HttpCore reads on for as long as bytes arrive,
 * so that one caller who sends fast, in parts that take long to process, would keep the thread from
 * all other connections.
 */
final class CallerSession implements IOSession {
  private static final int BYTES_PER_EVENT = 16_384;

  /**
   * Requests that a caller may send on a connection before the first of them is answered. Those
   * that arrived together with the last of these are handled, too.
   */
  private static final int MAX_OPEN_REQUESTS = 16;

  private final IOSession session;
  private final Supplier<RequestLimits> limits;
  private final CallerSessions sessions;
  private int bytesLeft = BYTES_PER_EVENT;

  /** Whether HttpCore wants to be told of bytes that arrive. */
  private boolean readWanted = true;

  private volatile boolean readPaused;

  CallerSession(IOSession session, Supplier<RequestLimits> limits, CallerSessions sessions) {
    this.session = session;
    this.limits = limits;
    this.sessions = sessions;
  }

  /** Notes the number of requests on this connection whose responses are not complete. */
  void openRequests(int count) {
    if (count == 0) {
      sessions.waits(this);
    } else {
      sessions.requestBegan(this);
    }
    setReadPaused(count >= MAX_OPEN_REQUESTS);
  }

  /** Keeps a caller from sending requests without end before it has read responses. */
  private void setReadPaused(boolean paused) {
    locked(
        () -> {
          if (readPaused == paused) {
            return;
          }
          readPaused = paused;
          if (paused) {
            session.clearEvent(SelectionKey.OP_READ);
          } else if (readWanted) {
            session.setEvent(SelectionKey.OP_READ);
          }
        });
  }

  /** Runs an action under the lock of the session, which HttpCore holds while it changes events. */
  private void locked(Runnable action) {
    Lock lock = session.getLock();
    lock.lock();
    try {
      action.run();
    } finally {
      lock.unlock();
    }
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    if (bytesLeft <= 0 || readPaused) {
      return 0; // The reactor reports the rest with a later event.
    }
    int count = session.read(target);
    bytesLeft -= count;
    if (count < 0) {
      throw new ConnectionClosedException("the caller closed the connection");
    }
    if (count > 0) {
      sessions.headBegan(this);
      boundHead();
    }
    return count;
  }

  /**
   * Shortens the timeout of an idle connection to that of a request head, so that a head which
   * stops arriving does not hold the connection for the idle timeout.
   */
  private void boundHead() {
    Timeout current = session.getSocketTimeout();
    Timeout head = Timeout.ofMilliseconds(limits.get().headTimeoutMs());
    if (current.compareTo(ExchangeMonitor.RESPONSE_TIMEOUT) < 0 && current.compareTo(head) > 0) {
      session.setSocketTimeout(head);
    }
  }

  @Override
  public int write(ByteBuffer source) throws IOException {
    return session.write(source);
  }

  @Override
  public boolean isOpen() {
    return session.isOpen();
  }

  @Override
  public String getId() {
    return session.getId();
  }

  @Override
  public IOEventHandler getHandler() {
    return session.getHandler();
  }

  @Override
  public void upgrade(IOEventHandler handler) {
    session.upgrade(handler);
  }

  @Override
  public Lock getLock() {
    return session.getLock();
  }

  @Override
  public void enqueue(Command command, Command.Priority priority) {
    session.enqueue(command, priority);
  }

  @Override
  public boolean hasCommands() {
    return session.hasCommands();
  }

  @Override
  public Command poll() {
    return session.poll();
  }

  @Override
  public ByteChannel channel() {
    return session.channel();
  }

  @Override
  public SocketAddress getRemoteAddress() {
    return session.getRemoteAddress();
  }

  @Override
  public SocketAddress getLocalAddress() {
    return session.getLocalAddress();
  }

  @Override
  public int getEventMask() {
    return session.getEventMask();
  }

  @Override
  public void setEventMask(int mask) {
    locked(
        () -> {
          readWanted = (mask & SelectionKey.OP_READ) != 0;
          session.setEventMask(readPaused ? mask & ~SelectionKey.OP_READ : mask);
        });
  }

  @Override
  public void setEvent(int operation) {
    if (operation != SelectionKey.OP_READ) {
      session.setEvent(operation);
      return;
    }
    locked(
        () -> {
          readWanted = true;
          if (!readPaused) {
            session.setEvent(operation);
          }
        });
  }

  @Override
  public void clearEvent(int operation) {
    locked(
        () -> {
          if (operation == SelectionKey.OP_READ) {
            readWanted = false;
          }
          session.clearEvent(operation);
        });
  }

  @Override
  public void close() {
    sessions.remove(this);
    session.close();
  }

  @Override
  public void close(CloseMode mode) {
    sessions.remove(this);
    session.close(mode);
  }

  @Override
  public Status getStatus() {
    return session.getStatus();
  }

  @Override
  public Timeout getSocketTimeout() {
    return session.getSocketTimeout();
  }

  @Override
  public void setSocketTimeout(Timeout timeout) {
    session.setSocketTimeout(timeout);
  }

  @Override
  public long getLastReadTime() {
    return session.getLastReadTime();
  }

  @Override
  public long getLastWriteTime() {
    return session.getLastWriteTime();
  }

  @Override
  public long getLastEventTime() {
    return session.getLastEventTime();
  }

  /** Called by HttpCore at the start of each event. */
  @Override
  public void updateReadTime() {
    bytesLeft = BYTES_PER_EVENT;
    session.updateReadTime();
  }

  @Override
  public void updateWriteTime() {
    session.updateWriteTime();
  }
}
