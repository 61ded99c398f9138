package dev.caroblb.transport;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** A connection that another instance dialled. */
final class InboundPeer {
  private static final System.Logger LOGGER = System.getLogger(InboundPeer.class.getName());

  private final SocketChannel channel;
  private final ByteBuffer acknowledgement = ByteBuffer.allocate(1);
  private final FrameSplitter splitter = new FrameSplitter();
  private final Predicate<Hello> accepts;
  private final Map<Channel, PeerReceiver> receivers;
  private final TransportCounters counters;
  private Optional<InstanceId> peer = Optional.empty();

  InboundPeer(
      SocketChannel channel,
      Predicate<Hello> accepts,
      Map<Channel, PeerReceiver> receivers,
      TransportCounters counters) {
    this.channel = channel;
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
      acknowledge();
    } catch (IOException e) {
      LOGGER.log(
          System.Logger.Level.DEBUG,
          LogLine.of("transport.inbound_closed").with("cause", e).toString());
      Channels.closeQuietly(channel);
    }
  }

  /** A byte that finds no room in the send buffer is not missed: earlier ones are under way. */
  private void acknowledge() throws IOException {
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
