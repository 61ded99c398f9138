package dev.caroblb.transport;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.MillisClock;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** A connection that another instance dialled. */
final class InboundPeer {
  private static final System.Logger LOGGER = System.getLogger(InboundPeer.class.getName());

  /**
   * Shortest pause between two acknowledgements. One for each read doubled the wake-ups of both
   * sides; the sender waits {@link OutboundPeer#ACKNOWLEDGE_MS} for one.
   */
  private static final long ACKNOWLEDGE_PAUSE_MS = 250;

  private final SocketChannel channel;
  private final MillisClock clock;
  private final ByteBuffer acknowledgement = ByteBuffer.allocate(1);
  private final FrameSplitter splitter = new FrameSplitter();
  private final Predicate<Hello> accepts;
  private final Map<Channel, PeerReceiver> receivers;
  private final TransportCounters counters;
  private Optional<InstanceId> peer = Optional.empty();
  private boolean owesAcknowledgement;
  private long acknowledgedMs;

  InboundPeer(
      SocketChannel channel,
      MillisClock clock,
      Predicate<Hello> accepts,
      Map<Channel, PeerReceiver> receivers,
      TransportCounters counters) {
    this.channel = channel;
    this.clock = clock;
    this.acknowledgedMs = clock.nowMs() - ACKNOWLEDGE_PAUSE_MS;
    this.accepts = accepts;
    this.receivers = receivers;
    this.counters = counters;
  }

  /** Reads what was received; closes the connection on any error. */
  void onReadable() {
    try {
      if (channel.read(splitter.writable()) < 0) {
        Channels.closeQuietly(channel);
        return;
      }
      Optional<ByteBuffer> frame = nextFrame();
      while (frame.isPresent()) {
        process(frame.get());
        frame = nextFrame();
      }
      owesAcknowledgement = true;
      acknowledge();
    } catch (IOException e) {
      close(e);
    }
  }

  private void close(IOException cause) {
    LOGGER.log(
        System.Logger.Level.DEBUG,
        LogLine.of("transport.inbound_closed").with("cause", cause).toString());
    Channels.closeQuietly(channel);
  }

  boolean open() {
    return channel.isOpen();
  }

  /** Sends an acknowledgement that was put off. */
  void maintain() {
    try {
      acknowledge();
    } catch (IOException e) {
      close(e);
    }
  }

  /** A byte that finds no room in the send buffer is not missed: earlier ones are under way. */
  private void acknowledge() throws IOException {
    long nowMs = clock.nowMs();
    if (!owesAcknowledgement || nowMs - acknowledgedMs < ACKNOWLEDGE_PAUSE_MS) {
      return;
    }
    owesAcknowledgement = false;
    acknowledgedMs = nowMs;
    acknowledgement.clear();
    channel.write(acknowledgement);
  }

  private Optional<ByteBuffer> nextFrame() throws IOException {
    try {
      return splitter.next();
    } catch (IOException e) {
      counters.malformed();
      throw e;
    }
  }

  private void process(ByteBuffer bytes) throws IOException {
    if (peer.isEmpty()) {
      greet(bytes);
      return;
    }
    Optional<Frame> frame = FrameCodec.decode(bytes);
    if (frame.isEmpty()) {
      counters.malformed();
      throw new IOException("malformed frame from " + peer.get());
    }
    PeerReceiver receiver = receivers.get(frame.get().channel());
    if (receiver != null) {
      receiver.received(peer.get(), frame.get().body());
    }
  }

  private void greet(ByteBuffer bytes) throws IOException {
    Optional<Hello> hello = FrameCodec.decodeHello(bytes).filter(accepts);
    if (hello.isEmpty()) {
      counters.refusedConnection();
      throw new IOException("refused hello from " + channel.getRemoteAddress());
    }
    peer = Optional.of(new InstanceId(hello.get().instance()));
  }
}
