package dev.caroblb.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Forwards the connections of one link according to its current mode. */
final class LinkRelay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 << 10;
  private static final int CONNECT_TIMEOUT_MS = 2_000;

  /** Delay of a slow link: about a hundred times the latency between failure domains. */
  private static final long LINK_DELAY_MS = 150;

  private final ServerSocket listener;
  private final InetSocketAddress destination;
  private final ExecutorService executor;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition modeChanged = lock.newCondition();
  private LinkMode mode = LinkMode.PASS;

  LinkRelay(
      InetSocketAddress listenAddress, InetSocketAddress destination, ExecutorService executor)
      throws IOException {
    this.destination = destination;
    this.executor = executor;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(listenAddress);
    executor.execute(this::accept);
  }

  void setMode(LinkMode newMode) {
    lock.lock();
    try {
      mode = newMode;
      modeChanged.signalAll();
    } finally {
      lock.unlock();
    }
    if (newMode == LinkMode.RESET) {
      sockets.forEach(LinkRelay::reset);
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket from = listener.accept();
        if (mode() == LinkMode.RESET) {
          reset(from);
        } else {
          executor.execute(() -> connect(from));
        }
      } catch (IOException e) {
        return;
      }
    }
  }

  private LinkMode mode() {
    lock.lock();
    try {
      return mode;
    } finally {
      lock.unlock();
    }
  }

  private void connect(Socket from) {
    Socket to = new Socket();
    sockets.add(from);
    sockets.add(to);
    try {
      from.setTcpNoDelay(true);
      to.setTcpNoDelay(true);
      to.connect(destination, CONNECT_TIMEOUT_MS);
      executor.execute(() -> copy(from, to, true));
      copy(to, from, false);
    } catch (IOException e) {
      closePair(from, to);
    }
  }

  private void copy(Socket from, Socket to, boolean fromInitiator) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitForwarding(fromInitiator);
        out.write(buffer, 0, count);
      }
    } catch (IOException e) {
      // When either connection fails, both are closed below.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    closePair(from, to);
  }

  private void awaitForwarding(boolean fromInitiator) throws InterruptedException {
    if (mode() == LinkMode.DELAY) {
      Thread.sleep(LINK_DELAY_MS);
    }
    lock.lock();
    try {
      while (mode == LinkMode.SILENT || (fromInitiator && mode == LinkMode.ONE_WAY)) {
        modeChanged.await();
      }
    } finally {
      lock.unlock();
    }
  }

  private void closePair(Socket from, Socket to) {
    sockets.remove(from);
    sockets.remove(to);
    close(from);
    close(to);
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // A socket that is already closed needs no reset.
    }
    close(socket);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    sockets.forEach(LinkRelay::close);
    setMode(LinkMode.PASS);
  }
}
