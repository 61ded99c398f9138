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

/** Passes the connections of one link on, as its present mode says. */
final class LinkRelay implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 << 10;
  private static final int CONNECT_MS = 2_000;

  /** Delay in milliseconds of a slow link: some hundred times that between failure domains. */
  private static final long DELAY_MS = 150;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final ExecutorService threads;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private LinkMode mode = LinkMode.PASS;

  LinkRelay(InetSocketAddress listenOn, InetSocketAddress target, ExecutorService threads)
      throws IOException {
    this.target = target;
    this.threads = threads;
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(listenOn);
    threads.execute(this::accept);
  }

  void set(LinkMode latest) {
    lock.lock();
    try {
      mode = latest;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    if (latest == LinkMode.RESET) {
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
          threads.execute(() -> connect(from));
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
      to.connect(target, CONNECT_MS);
      threads.execute(() -> copy(from, to, true));
      copy(to, from, false);
    } catch (IOException e) {
      end(from, to);
    }
  }

  private void copy(Socket from, Socket to, boolean outward) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        awaitPassage(outward);
        out.write(buffer, 0, count);
      }
    } catch (IOException e) {
      // The end of either connection ends both, as below.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    end(from, to);
  }

  private void awaitPassage(boolean outward) throws InterruptedException {
    if (mode() == LinkMode.DELAY) {
      Thread.sleep(DELAY_MS);
    }
    lock.lock();
    try {
      while (mode == LinkMode.SILENT || (outward && mode == LinkMode.ONE_WAY)) {
        changed.await();
      }
    } finally {
      lock.unlock();
    }
  }

  private void end(Socket from, Socket to) {
    sockets.remove(from);
    sockets.remove(to);
    close(from);
    close(to);
  }

  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // A socket that is closed already needs no reset.
    }
    close(socket);
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing is left to be released.
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    sockets.forEach(LinkRelay::close);
    set(LinkMode.PASS);
  }
}
