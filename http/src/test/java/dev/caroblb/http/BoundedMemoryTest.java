package dev.caroblb.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.MemoryAccount;
import dev.caroblb.core.Payload;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ForkJoinPool;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Requests to a listener whose memory is in use. */
class BoundedMemoryTest {
  private static final int WAIT_MS = 10_000;
  private static final int LIMIT = 1 << 20;
  private static final int EXEMPT = 16;
  private static final int BODY = 300_000;

  private record Handled(IncomingRequest request, Reply reply) {}

  private final MemoryAccount account = new MemoryAccount(LIMIT, ForkJoinPool.commonPool());
  private final LinkedBlockingQueue<Handled> handled = new LinkedBlockingQueue<>();
  private HttpListener listener;

  private void listen(long pauseTimeoutMs) throws IOException {
    HttpLimits limits = new HttpLimits(1_024, 10, LIMIT, 30_000, 65_536, 1, 64);
    listener =
        HttpListener.start(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            limits,
            limits::requestLimits,
            (request, reply) -> handled.add(new Handled(request, reply)),
            status -> {},
            new ListenerMemory(account, EXEMPT, pauseTimeoutMs));
  }

  @AfterEach
  void stop() {
    listener.close();
  }

  private Socket send(String head, int bodyBytes) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(4_096);
    socket.setSoTimeout(WAIT_MS);
    socket.connect(listener.address(), WAIT_MS);
    String text = head + " HTTP/1.1\r\nHost: a\r\n";
    text += bodyBytes > 0 ? "Content-Length: " + bodyBytes + "\r\n\r\n" : "\r\n";
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private static void sendBody(Socket socket, int bytes) throws IOException {
    socket.getOutputStream().write(new byte[bytes]);
  }

  private static String head(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      assertTrue(next >= 0, () -> "the response ended early: " + head);
      head.append((char) next);
    }
    return head.toString();
  }

  private Handled nextHandled() throws InterruptedException {
    Handled next = handled.poll(WAIT_MS, TimeUnit.MILLISECONDS);
    assertNotNull(next, "the request was not handled");
    return next;
  }

  /** Waits, without a fixed time, until the account is as wanted. */
  private void awaitUsed(long bytes) {
    long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
    while (account.usedBytes() != bytes && System.nanoTime() < limit) {
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
    }
    assertEquals(bytes, account.usedBytes());
  }

  @Nested
  class NewRequest {
    /** Guards against a heap that fills with the bodies of requests that begin at the bound. */
    @Test
    void withABodyIsRejectedAsNotRun() throws Exception {
      listen(WAIT_MS);
      account.take(LIMIT);
      try (Socket socket = send("POST /x", BODY)) {
        String head = head(socket);
        assertTrue(head.startsWith("HTTP/1.1 503"), head);
        assertTrue(head.contains("Retry-After: 1\r\n"), head);
        assertTrue(head.contains("Connection: close\r\n"), head);
        sendBody(socket, BODY);
      }
      assertNull(handled.poll());
      assertEquals(LIMIT, account.usedBytes());
    }

    /** Guards against a target that counts as silent because its announcement was rejected. */
    @Test
    void withAShortBodyIsHandled() throws Exception {
      listen(WAIT_MS);
      account.take(LIMIT);
      try (Socket socket = send("PUT /x", EXEMPT)) {
        sendBody(socket, EXEMPT);
        assertEquals(EXEMPT, nextHandled().request().body().size());
      }
    }
  }

  @Nested
  class OrdinaryRequest {
    /** Guards against callers that are refused for as long as others keep the memory full. */
    @Test
    void withoutABodyIsHandledWhileMemoryIsFull() throws Exception {
      listen(WAIT_MS);
      account.take(LIMIT);
      try (Socket socket = send("GET /x", 0)) {
        nextHandled().reply().send(200, List.of(), Payload.empty());
        assertTrue(head(socket).startsWith("HTTP/1.1 200"));
      }
    }

    /** Guards against bodies that stop and keep the memory full for as long as they stay. */
    @Test
    void getsTheMemoryOfABodyThatHasStalled() throws Exception {
      listen(WAIT_MS);
      try (Socket stalled = send("POST /x", LIMIT)) {
        sendBody(stalled, LIMIT - 100);
        awaitUsed(LIMIT - 100);
        boolean served = false;
        long limit = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
        while (!served && System.nanoTime() < limit) {
          try (Socket other = send("POST /x", BODY)) {
            served = completes(other);
          }
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
        }
        assertTrue(served, "the memory is kept");
        assertTrue(head(stalled).startsWith("HTTP/1.1 503"));
      }
      awaitUsed(0);
      assertNull(handled.poll());
    }
  }

  /** Sends the body of a request; returns whether it was handled rather than refused. */
  private boolean completes(Socket socket) throws Exception {
    sendBody(socket, BODY);
    Handled next = handled.poll(100, TimeUnit.MILLISECONDS);
    if (next == null) {
      assertTrue(head(socket).startsWith("HTTP/1.1 503"));
      return false;
    }
    next.reply().send(200, List.of(), Payload.empty());
    return head(socket).startsWith("HTTP/1.1 200");
  }

  @Nested
  class BegunBody {
    private static final int SENDERS = 4;
    private static final int PART = 220_000;

    private Socket sendHalf() throws IOException {
      Socket socket = send("POST /x", BODY);
      sendBody(socket, BODY / 2);
      awaitUsed(BODY / 2);
      account.take(LIMIT);
      assertTrue(account.mayExceed("another body"));
      return socket;
    }

    /** Guards against the loss of a request that was accepted before the bound was reached. */
    @Test
    void isReadOnWhenMemoryIsFree() throws Exception {
      listen(WAIT_MS);
      try (Socket socket = sendHalf()) {
        sendBody(socket, BODY - BODY / 2);
        assertNull(handled.poll(100, TimeUnit.MILLISECONDS));
        assertTrue(account.usedBytes() - LIMIT < BODY, "the body was read on");
        account.release(LIMIT);
        Handled request = nextHandled();
        assertEquals(BODY, request.request().body().size());
        request.reply().send(200, List.of(), Payload.empty());
        assertTrue(head(socket).startsWith("HTTP/1.1 200"));
      }
      awaitUsed(0);
    }

    /** Guards against requests that hold memory for good because each waits for the others. */
    @Test
    void isRejectedAfterItsTimeout() throws Exception {
      listen(50);
      try (Socket socket = sendHalf()) {
        sendBody(socket, BODY - BODY / 2);
        assertTrue(head(socket).startsWith("HTTP/1.1 503"));
      }
      awaitUsed(LIMIT);
      assertNull(handled.poll());
    }

    /** Guards against bodies that all hold a part of the memory and wait for the rest. */
    @Test
    void isCompletedBesideOthersThatNeedMoreThanAllMemory() throws Exception {
      listen(WAIT_MS);
      List<Socket> sockets = new ArrayList<>();
      ExecutorService senders = Executors.newFixedThreadPool(SENDERS);
      try {
        for (int i = 0; i < SENDERS; i++) {
          Socket socket = send("POST /x", 2 * PART);
          sockets.add(socket);
          sendBody(socket, PART);
          awaitUsed((i + 1L) * PART);
        }
        for (Socket socket : sockets) {
          Future<?> unused =
              senders.submit(
                  () -> {
                    sendBody(socket, PART);
                    return socket;
                  });
        }
        for (int i = 0; i < SENDERS; i++) {
          nextHandled().reply().send(200, List.of(), Payload.empty());
        }
        for (Socket socket : sockets) {
          assertTrue(head(socket).startsWith("HTTP/1.1 200"));
        }
      } finally {
        senders.shutdownNow();
        for (Socket socket : sockets) {
          socket.close();
        }
      }
      awaitUsed(0);
    }

    /** Guards against memory that stays counted for callers that are gone. */
    @Test
    void isNotCountedAfterADisconnect() throws Exception {
      listen(WAIT_MS);
      try (Socket socket = send("POST /x", BODY)) {
        sendBody(socket, BODY / 2);
        awaitUsed(BODY / 2);
      }
      awaitUsed(0);
    }
  }

  @Nested
  class SlowCaller {
    private static final int PART = 16_384;

    /** Guards against output for many slow callers that exceeds the memory together. */
    @Test
    void getsNoMoreOutputAtTheBound() throws Exception {
      listen(WAIT_MS);
      try (Socket socket = send("GET /x", 0)) {
        Reply reply = nextHandled().reply();
        reply.startStream(200, List.of());
        account.take(LIMIT);
        int taken = 0;
        int refused = 0;
        while (taken < 4_096 && refused < 1_000) {
          boolean written = reply.write(Payload.copyOf(new byte[PART]));
          taken += written ? 1 : 0;
          refused += written ? 0 : 1;
          assertTrue(account.usedBytes() - LIMIT <= PART, "output was queued beyond the bound");
        }
        assertEquals(1_000, refused, "output was queued without end");
        assertTrue(socket.isConnected());
      }
      awaitUsed(LIMIT);
    }

    /** Guards against memory that stays counted for a response to a caller that is gone. */
    @Test
    void thatIsGoneGetsNoResponse() throws Exception {
      listen(WAIT_MS);
      Reply reply;
      try (Socket socket = send("GET /x", 0)) {
        assertTrue(socket.isConnected());
        reply = nextHandled().reply();
        Reply gone = reply;
        reply.onDisconnect(() -> handled.add(new Handled(null, gone)));
      }
      assertEquals(reply, nextHandled().reply());
      reply.send(200, List.of(), Payload.copyOf(new byte[PART]));
      assertEquals(0, account.usedBytes());
    }

    /** Guards against complete responses for slow callers that fill the heap. */
    @Test
    void losesTheLargestResponseAboveTheBound() throws Exception {
      listen(WAIT_MS);
      try (Socket first = send("GET /x", 0);
          Socket second = send("GET /x", 0)) {
        Reply large = nextHandled().reply();
        final Reply small = nextHandled().reply();
        large.onDisconnect(() -> handled.add(new Handled(null, large)));
        large.send(200, List.of(), Payload.copyOf(new byte[4 * LIMIT]));
        small.send(200, List.of(), Payload.copyOf(new byte[PART]));
        assertEquals(large, nextHandled().reply());
        assertTrue(first.isConnected() && second.isConnected());
      }
      awaitUsed(0);
    }
  }
}
