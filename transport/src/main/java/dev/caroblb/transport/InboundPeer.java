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

/** Connection accepted from another instance. */
final class InboundPeer {
  private static final System.Logger LOGGER = System.getLogger(InboundPeer.class.getName());

  /**
   * Minimum interval between two acknowledgements; acknowledging each read doubled the wake-ups of
   * both sides. Must stay well below {@link OutboundPeer#ACKNOWLEDGE_TIMEOUT_MS}, the time that the
   * sender waits.
   */
  private static final long MIN_ACKNOWLEDGE_INTERVAL_MS = 250;

  private final SocketChannel channel;
  private final MillisClock clock;
  private final ByteBuffer acknowledgement = ByteBuffer.allocate(1);
  private final FrameSplitter splitter = new FrameSplitter();
  private final Predicate<Hello> accepts;
  private final Map<Channel, PeerReceiver> receivers;
  private final TransportCounters counters;
  private Optional<InstanceId> peer = Optional.empty();
  private boolean acknowledgementPending;
  private long acknowledgedMs;

  InboundPeer(
      SocketChannel channel,
      MillisClock clock,
      Predicate<Hello> accepts,
      Map<Channel, PeerReceiver> receivers,
      TransportCounters counters) {
    this.channel = channel;
    this.clock = clock;
    this.acknowledgedMs = clock.nowMs() - MIN_ACKNOWLEDGE_INTERVAL_MS;
    this.accepts = accepts;
    this.receivers = receivers;
    this.counters = counters;
  }

  /** Reads received frames; closes the connection on any error. */
  void onReadable() {
    try {
      if (channel.read(splitter.writable()) < 0) {
        SelectableChannels.closeQuietly(channel);
        return;
      }
      Optional<ByteBuffer> frame = nextFrame();
      while (frame.isPresent()) {
        process(frame.get());
        frame = nextFrame();
      }
      acknowledgementPending = true;
      acknowledge();
    } catch (IOException e) {
      close(e);
    }
  }

  private void close(IOException cause) {
    LOGGER.log(
        System.Logger.Level.DEBUG,
        LogLine.of("transport.inbound_closed").with("cause", cause).toString());
    SelectableChannels.closeQuietly(channel);
  }

  boolean open() {
    return channel.isOpen();
  }

  /** Sends a pending acknowledgement once the minimum interval has passed. */
  void maintain() {
    try {
      acknowledge();
    } catch (IOException e) {
      close(e);
    }
  }

  /**
   * Writes a pending acknowledgement, at most one per interval. A byte that does not fit into the
   * send buffer is skipped, since earlier acknowledgements are still in the buffer.
   */
  private void acknowledge() throws IOException {
    long nowMs = clock.nowMs();
    if (!acknowledgementPending || nowMs - acknowledgedMs < MIN_ACKNOWLEDGE_INTERVAL_MS) {
      return;
    }
    acknowledgementPending = false;
    acknowledgedMs = nowMs;
    acknowledgement.clear();
    channel.write(acknowledgement);
  }

  private Optional<ByteBuffer> nextFrame() throws IOException {
    try {
      return splitter.next();
    } catch (IOException e) {
      counters.countMalformed();
      throw e;
    }
  }

  private void process(ByteBuffer bytes) throws IOException {
    if (peer.isEmpty()) {
      authenticate(bytes);
      return;
    }
    Optional<Frame> frame = FrameCodec.decode(bytes);
    if (frame.isEmpty()) {
      counters.countMalformed();
      throw new IOException("malformed frame from " + peer.get());
    }
    PeerReceiver receiver = receivers.get(frame.get().channel());
    if (receiver != null) {
      receiver.received(peer.get(), frame.get().body());
    }
  }

  private void authenticate(ByteBuffer bytes) throws IOException {
    Optional<Hello> hello = FrameCodec.decodeHello(bytes).filter(accepts);
    if (hello.isEmpty()) {
      counters.countRefusedConnection();
      throw new IOException("refused hello from " + channel.getRemoteAddress());
    }
    peer = Optional.of(new InstanceId(hello.get().instance()));
  }
}
