package dev.caroblb.resumption;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import java.util.List;

/** Keeps, on a control instance, what began the streams of which this instance is a holder. */
public final class ResumptionHandler implements DutyHandler<ResumptionMessage> {
  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final Outlet<PeerMessage.StreamBegan> journal;
  private final BegunStreams streams = new BegunStreams();
  private final RecordTransfer transfer;
  private volatile int size;

  /**
   * @param peers receives requests to entries and replies to them
   * @param journal receives each new record
   * @param restored records of earlier processes, with the time for which each is still to be kept
   */
  public ResumptionHandler(
      Outlet<PeerEnvelope<PeerMessage>> peers,
      Outlet<PeerMessage.StreamBegan> journal,
      List<PeerMessage.StreamBegan> restored,
      long nowMs) {
    this.peers = peers;
    this.journal = journal;
    transfer = new RecordTransfer(peers);
    for (PeerMessage.StreamBegan began : restored) {
      boolean unused = streams.began(began.attempt(), began.origin(), began.keepMs(), nowMs);
    }
    size = streams.size();
  }

  /** Number of streams known; may be called from any thread. */
  public int size() {
    return size;
  }

  @Override
  public void handle(ResumptionMessage message, long nowMs) {
    if (message instanceof ResumptionMessage.FromPeer fromPeer) {
      fromPeer(fromPeer.received().peer(), fromPeer.received().message(), nowMs);
    } else if (message instanceof ResumptionMessage.InstancesChanged changed) {
      transfer.instancesChanged(changed, nowMs);
    }
  }

  private void fromPeer(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.StreamBegan began) {
      began(began, nowMs);
    } else if (message instanceof PeerMessage.OriginQuery query) {
      PeerMessage reply =
          new PeerMessage.OriginReply(query.attempt(), streams.origin(query.attempt(), nowMs));
      boolean unused = peers.offer(new PeerEnvelope<>(peer, reply));
    } else if (message instanceof PeerMessage.RecordsPage page) {
      page.records().forEach(began -> began(began, nowMs));
      transfer.received(peer, page, nowMs);
    }
  }

  private void began(PeerMessage.StreamBegan began, long nowMs) {
    if (streams.began(began.attempt(), began.origin(), began.keepMs(), nowMs)) {
      // A full ring costs the durability of the record, not the record.
      boolean unused = journal.offer(began);
    }
    size = streams.size();
  }

  @Override
  public void tick(long nowMs) {
    transfer.tick(nowMs);
  }

  @Override
  public long nextTickMs() {
    return transfer.nextTickMs();
  }
}
