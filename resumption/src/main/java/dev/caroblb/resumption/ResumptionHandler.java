package dev.caroblb.resumption;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;

/** The duty of a control instance that remembers what began each stream. */
public final class ResumptionHandler implements DutyHandler<ResumptionMessage> {
  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final BegunStreams streams = new BegunStreams();

  /**
   * @param peers receives the replies to entries
   */
  public ResumptionHandler(Outlet<PeerEnvelope<PeerMessage>> peers) {
    this.peers = peers;
  }

  @Override
  public void handle(ResumptionMessage message, long nowMs) {
    if (message instanceof ResumptionMessage.FromPeer fromPeer) {
      fromPeer(fromPeer.received().peer(), fromPeer.received().message(), nowMs);
    }
  }

  private void fromPeer(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.StreamBegan began) {
      streams.began(began.attempt(), began.origin(), began.keepMs(), nowMs);
    } else if (message instanceof PeerMessage.OriginQuery query) {
      PeerMessage reply =
          new PeerMessage.OriginReply(query.attempt(), streams.origin(query.attempt(), nowMs));
      boolean unused = peers.offer(new PeerEnvelope<>(peer, reply));
    }
  }

  @Override
  public void tick(long nowMs) {}

  @Override
  public long nextTickMs() {
    return Long.MAX_VALUE;
  }
}
