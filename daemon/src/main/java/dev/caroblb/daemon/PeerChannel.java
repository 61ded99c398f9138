package dev.caroblb.daemon;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.PeerTransport;
import java.lang.ref.SoftReference;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;

/** Sends and receives the messages of one module over the transport. */
final class PeerChannel<M> implements Outlet<PeerEnvelope<M>> {
  private static final int MIN_SHARED_BYTES = 16_384;

  private record LongFrame(Object message, ByteBuffer frame) {}

  private final PeerTransport transport;
  private final Channel channel;
  private final MessageCodec<M> codec;

  /** Is given up when memory is short. */
  private volatile SoftReference<LongFrame> lastFrame = new SoftReference<>(null);

  private final LongAdder malformed = new LongAdder();

  PeerChannel(PeerTransport transport, Channel channel, MessageCodec<M> codec) {
    this.transport = transport;
    this.channel = channel;
    this.codec = codec;
  }

  @Override
  public boolean offer(PeerEnvelope<M> message) {
    return transport.send(message.peer(), frameOf(message.message()));
  }

  /** Encodes a message; a long one that is sent to several peers in turn is encoded once. */
  private ByteBuffer frameOf(M message) {
    Optional<ByteBuffer> known =
        Optional.ofNullable(lastFrame.get())
            .filter(last -> last.message().equals(message))
            .map(LongFrame::frame);
    if (known.isPresent()) {
      return known.get();
    }
    ByteBuffer frame = PeerTransport.encode(channel, codec.encode(message));
    if (frame.remaining() >= MIN_SHARED_BYTES) {
      lastFrame = new SoftReference<>(new LongFrame(message, frame));
    }
    return frame;
  }

  /**
   * Sets the receiver of messages from other instances. A message that it rejects because it is
   * full is lost, like one that the network loses.
   */
  void setReceiver(Outlet<PeerEnvelope<M>> receiver) {
    transport.registerReceiver(channel, (from, body) -> decode(from, body, receiver));
  }

  private void decode(InstanceId from, Payload body, Outlet<PeerEnvelope<M>> receiver) {
    codec
        .decode(body)
        .ifPresentOrElse(
            message -> receiver.offer(new PeerEnvelope<>(from, message)), malformed::increment);
  }

  /** Number of messages that could not be decoded. */
  long malformed() {
    return malformed.sum();
  }
}
