package dev.caroblb.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.util.concurrent.locks.Lock;
import java.util.function.Supplier;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * Session of a caller that turns end of input into an error. HttpCore treats end of input as a
 * half-close by a caller that still waits for its response, and detects a closed connection only on
 * the next write.
 */
final class CallerSession implements IOSession {
  private final IOSession session;
  private final Supplier<RequestLimits> limits;

  CallerSession(IOSession session, Supplier<RequestLimits> limits) {
    this.session = session;
    this.limits = limits;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    int count = session.read(target);
    if (count < 0) {
      throw new ConnectionClosedException("the caller closed the connection");
    }
    if (count > 0) {
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
    session.setEventMask(mask);
  }

  @Override
  public void setEvent(int operation) {
    session.setEvent(operation);
  }

  @Override
  public void clearEvent(int operation) {
    session.clearEvent(operation);
  }

  @Override
  public void close() {
    session.close();
  }

  @Override
  public void close(CloseMode mode) {
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

  @Override
  public void updateReadTime() {
    session.updateReadTime();
  }

  @Override
  public void updateWriteTime() {
    session.updateWriteTime();
  }
}
