package dev.caroblb.http;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;

/** TCP server that runs a script on every connection, in order to send bytes that are no HTTP. */
final class ScriptedPeer implements AutoCloseable {
  /** End of the endless output, so that a test without a limit in the code under test ends too. */
  private static final long MAX_ENDLESS_BYTES = 128L << 20;

  private static final int BLOCK_BYTES = 16_384;

  /** Handles one connection, which is closed afterwards. */
  interface Script {
    void run(Socket connection) throws IOException;
  }

  /** For each connection that has ended, the number of bytes of its endless output. */
  final LinkedBlockingQueue<Long> endlessBytes = new LinkedBlockingQueue<>();

  /** The source port of each accepted connection. */
  final LinkedBlockingQueue<Integer> accepted = new LinkedBlockingQueue<>();

  private final ServerSocket server;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Script script;

  ScriptedPeer(Script script) throws IOException {
    this.script = script;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    threads.execute(this::accept);
  }

  InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket connection = server.accept();
        accepted.add(connection.getPort());
        threads.execute(() -> run(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void run(Socket connection) {
    try (connection) {
      script.run(connection);
    } catch (IOException e) {
      // The other side has closed the connection.
    }
  }

  /** Reads until the end of a request head; the body, if there is one, stays unread. */
  static void readHead(Socket connection) throws IOException {
    InputStream in = connection.getInputStream();
    int last = 0;
    int next = in.read();
    while (next >= 0) {
      last = (last << 8) | next;
      if (last == 0x0d0a0d0a) {
        return;
      }
      next = in.read();
    }
    throw new IOException("the connection was closed within a head");
  }

  static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    connection.getOutputStream().flush();
  }

  /** Repeats the text until the other side closes the connection. */
  void writeEndlessly(Socket connection, String text) throws IOException {
    byte[] block =
        text.repeat(Math.max(1, BLOCK_BYTES / text.length())).getBytes(StandardCharsets.ISO_8859_1);
    OutputStream out = connection.getOutputStream();
    long bytes = 0;
    try {
      while (bytes < MAX_ENDLESS_BYTES) {
        out.write(block);
        bytes += block.length;
      }
    } finally {
      endlessBytes.add(bytes);
    }
  }

  /** Waits until the other side has closed the connection. */
  static void awaitClose(Socket connection) throws IOException {
    while (connection.getInputStream().read() >= 0) {
      // Discards what is left of the request.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    threads.shutdownNow();
  }
}
