package dev.caroblb.daemon;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.Payload;
import dev.caroblb.transport.Channel;
import dev.caroblb.transport.PeerTransport;
import java.util.concurrent.atomic.LongAdder;

/** The messages of one slice on the transport. */
final class PeerChannel<M> implements Outlet<Addressed<M>> {
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
  public boolean offer(Addressed<M> message) {
    return transport.send(message.peer(), channel, codec.encode(message.message()));
  }

  /**
   * Sets who gets what other instances send. A message that finds no room is lost, as on a link.
   */
  void receive(Outlet<Addressed<M>> receiver) {
    transport.receive(channel, (from, body) -> decode(from, body, receiver));
  }

  private void decode(InstanceId from, Payload body, Outlet<Addressed<M>> receiver) {
    codec
        .decode(body)
        .ifPresentOrElse(
            message -> receiver.offer(new Addressed<>(from, message)), malformed::increment);
  }

  /** Messages that could not be decoded. */
  long malformed() {
    return malformed.sum();
  }
}
