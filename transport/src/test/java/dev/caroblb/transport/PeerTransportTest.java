package dev.caroblb.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.ManualMillisClock;
import dev.caroblb.core.Payload;
import dev.caroblb.core.SystemMillisClock;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests of the transport over loopback. */
class PeerTransportTest {
  private static final InstanceId A = new InstanceId("a");
  private static final InstanceId B = new InstanceId("b");
  private static final int WAIT_MS = 10_000;

  private final LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
  private PeerTransport receiver;

  private static InetSocketAddress loopback(int port) {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  private static Hello hello(InstanceId instance) {
    return new Hello("cluster", instance.name(), "1", "token");
  }

  private PeerTransport receiver(int port) throws IOException {
    PeerTransport transport =
        new PeerTransport(
            hello(B),
            loopback(port),
            PeerDirectory.fixed(Map.of(A, loopback(1))),
            new ManualMillisClock(0));
    transport.registerReceiver(
        Channel.MEMBERSHIP, (from, body) -> received.add(from + ":" + body.text()));
    transport.start();
    return transport;
  }

  private PeerTransport sender() throws IOException {
    PeerTransport transport =
        new PeerTransport(
            hello(A),
            loopback(0),
            PeerDirectory.fixed(Map.of(B, receiver.address())),
            new SystemMillisClock());
    transport.start();
    return transport;
  }

  @BeforeEach
  void listen() throws IOException {
    receiver = receiver(0);
  }

  @AfterEach
  void stop() {
    receiver.close();
  }

  private String next() throws InterruptedException {
    return received.poll(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  /**
   * Sends repeatedly until a message arrives, since messages may be dropped until the connection is
   * up.
   */
  private void sendUntilReceived(PeerTransport sender, String text) throws InterruptedException {
    for (int i = 0; i < 200; i++) {
      sender.send(B, Channel.MEMBERSHIP, Payload.ofText(text));
      if (received.poll(50, TimeUnit.MILLISECONDS) != null) {
        return;
      }
    }
    throw new AssertionError("nothing was received");
  }

  @Nested
  class Delivery {
    /** Guards against reordered messages on one connection. */
    @Test
    void messagesArriveInOrder() throws Exception {
      try (PeerTransport sender = sender()) {
        sendUntilReceived(sender, "first");
        sender.send(B, Channel.MEMBERSHIP, Payload.ofText("start"));
        String text = next();
        while (!"a:start".equals(text)) {
          text = next();
        }
        for (int i = 0; i < 1_000; i++) {
          assertTrue(sender.send(B, Channel.MEMBERSHIP, Payload.ofText("m" + i)));
        }
        for (int i = 0; i < 1_000; i++) {
          assertEquals("a:m" + i, next());
        }
      }
    }

    /** Guards against a peer that stays unreachable after a restart. */
    @Test
    void restartedPeerIsReachedAgain() throws Exception {
      try (PeerTransport sender = sender()) {
        sendUntilReceived(sender, "before");
        int port = receiver.address().getPort();
        receiver.close();
        received.clear();
        receiver = receiver(port);
        sendUntilReceived(sender, "after");
      }
    }

    /** Guards against a full queue that blocks the sender or drops frames without counting them. */
    @Test
    void fullQueueIsCounted() throws Exception {
      try (PeerTransport sender =
          new PeerTransport(
              hello(A),
              loopback(0),
              PeerDirectory.fixed(Map.of(B, receiver.address())),
              new ManualMillisClock(0))) {
        int refused = 0;
        for (int i = 0; i < 5_000; i++) {
          refused += sender.send(B, Channel.MEMBERSHIP, Payload.empty()) ? 0 : 1;
        }
        assertEquals(5_000 - 4_096, refused);
        assertEquals(refused, sender.counters().droppedFrames());
        assertFalse(sender.send(new InstanceId("c"), Channel.MEMBERSHIP, Payload.empty()));
      }
    }
  }

  @Nested
  class SilentConnection {
    /**
     * Guards against keeping a connection whose packets are lost. Writes to it still succeed; only
     * the missing acknowledgement reveals the loss.
     */
    @Test
    void isDialedAgain() throws Exception {
      try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
          PeerTransport sender =
              new PeerTransport(
                  hello(A),
                  loopback(0),
                  PeerDirectory.fixed(Map.of(B, loopback(silent.getLocalPort()))),
                  new SystemMillisClock())) {
        silent.setSoTimeout(WAIT_MS);
        sender.start();
        sender.send(B, Channel.MEMBERSHIP, Payload.ofText("lost"));
        try (Socket first = silent.accept();
            Socket second = silent.accept()) {
          assertTrue(first.isConnected() && second.isConnected());
        }
      }
    }
  }

  @Nested
  class Refusal {
    /** Sends bytes and asserts that the receiver closes the connection. */
    private void assertClosed(ByteBuffer bytes) throws IOException {
      try (Socket socket = new Socket()) {
        socket.setSoTimeout(WAIT_MS);
        socket.connect(receiver.address(), WAIT_MS);
        byte[] sent = new byte[bytes.remaining()];
        bytes.get(sent);
        socket.getOutputStream().write(sent);
        assertEquals(-1, socket.getInputStream().read());
      }
    }

    /** Guards against accepting messages of an unknown instance or of another cluster. */
    @Test
    void wrongHelloIsCounted() throws IOException {
      assertClosed(FrameCodec.encode(new Hello("other", "a", "1", "token")));
      assertClosed(FrameCodec.encode(new Hello("cluster", "a", "1", "wrong")));
      assertClosed(FrameCodec.encode(new Hello("cluster", "stranger", "1", "token")));
      assertEquals(3, receiver.counters().refusedConnections());
    }

    /** Guards against a frame length out of range that is not counted. */
    @Test
    void lengthOutOfRangeIsCounted() throws IOException {
      assertClosed(ByteBuffer.allocate(4).putInt(-1).flip());
      assertEquals(1, receiver.counters().malformedFrames());
    }

    /** Guards against reading on after a malformed frame. */
    @Test
    void malformedFrameIsCounted() throws IOException {
      ByteBuffer bytes = ByteBuffer.allocate(200).put(FrameCodec.encode(hello(A)));
      assertClosed(bytes.putInt(1).put((byte) 0xc1).flip());
      assertEquals(1, receiver.counters().malformedFrames());
    }
  }

  @Nested
  class LongFrames {
    private static final int FRAME_BYTES = 1 << 20;

    /** Guards against queued configurations that exceed the memory of the process. */
    @Test
    void ofAPeerThatIsNotReachedAreBounded() throws IOException {
      try (PeerTransport transport =
          new PeerTransport(
              hello(A),
              loopback(0),
              PeerDirectory.fixed(Map.of(B, loopback(1))),
              new ManualMillisClock(0))) {
        ByteBuffer frame =
            PeerTransport.encode(Channel.MEMBERSHIP, Payload.copyOf(new byte[FRAME_BYTES]));
        int queued = 0;
        while (queued < 100 && transport.send(B, frame)) {
          queued++;
        }
        assertEquals(OutboundPeer.MAX_QUEUED_BYTES / FRAME_BYTES - 1, queued);
        assertTrue(transport.send(B, Channel.MEMBERSHIP, Payload.ofText("short")));
      }
    }
  }
}
