package dev.caroblb.daemon;

import dev.caroblb.core.InstanceId;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.core.PeerEnvelope;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.PeerTransport;
import java.util.concurrent.atomic.LongAdder;

/** Sends and receives the messages of one module over the transport. */
final class PeerChannel<M> implements Outlet<PeerEnvelope<M>> {
  private final PeerTransport transport;
  private final Channel channel;
  private final MessageCodec<M> codec;
  private final LongAdder malformed = new LongAdder();

  PeerChannel(PeerTransport transport, Channel channel, MessageCodec<M> codec) {
    this.transport = transport;
    this.channel = channel;
    this.codec = codec;
  }

  @Override
  public boolean offer(PeerEnvelope<M> message) {
    return transport.send(message.peer(), channel, codec.encode(message.message()));
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
