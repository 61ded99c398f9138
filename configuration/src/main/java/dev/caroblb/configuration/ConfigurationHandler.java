package dev.caroblb.configuration;

import dev.caroblb.core.Addressed;
import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** Decisions of the configuration duty of one instance, which is an entry and may be the leader. */
public final class ConfigurationHandler implements DutyHandler<ConfigurationMessage> {
  private final InstanceId self;
  private final Outlet<Addressed<PeerMessage>> peers;
  private final ConfigurationCounters counters;
  private final Deque<PeerMessage> toSelf = new ArrayDeque<>();
  private final EntryRole entry;
  private final PublishForwarder forwarder;
  private final Proposals proposals;
  private final LeaderRole leader;

  /**
   * Creates the handler of one process.
   *
   * @param self this instance
   * @param incarnation identity of this process, different after each restart
   * @param replicas the instances of the control group, asked in this order
   * @param outlets where messages of this duty go
   * @param proposer entrance to the control group
   */
  public ConfigurationHandler(
      InstanceId self,
      String incarnation,
      List<InstanceId> replicas,
      ConfigurationOutlets outlets,
      CommandProposer proposer,
      ConfigurationCounters counters) {
    this(self, incarnation, replicas, outlets, proposer, counters, FileChunks.CHUNK_BYTES);
  }

  /** Creates a handler that sends smaller chunks, so that few files need several of them. */
  ConfigurationHandler(
      InstanceId self,
      String incarnation,
      List<InstanceId> replicas,
      ConfigurationOutlets outlets,
      CommandProposer proposer,
      ConfigurationCounters counters,
      int chunkBytes) {
    this.self = self;
    this.peers = outlets.peers();
    this.counters = counters;
    LeaderFinder finder = new LeaderFinder(replicas);
    this.entry = new EntryRole(incarnation, finder, this::send, outlets.views(), counters);
    this.forwarder = new PublishForwarder(incarnation, finder, this::send, counters);
    this.proposals = new Proposals(proposer, outlets.self(), counters);
    this.leader = new LeaderRole(self, this::send, proposals, counters, chunkBytes);
  }

  @Override
  public void handle(ConfigurationMessage message, long nowMs) {
    if (message instanceof ConfigurationMessage.PeerReceived received) {
      receive(received.peer(), received.message(), nowMs);
    } else if (message instanceof ConfigurationMessage.LeaseChanged leaseChanged) {
      leader.leaseChanged(leaseChanged.lease(), nowMs);
    } else if (message instanceof ConfigurationMessage.StateApplied stateApplied) {
      ConfigurationState state = stateApplied.state();
      leader.stateApplied(state);
      entry.stateApplied(state, nowMs);
    } else if (message instanceof ConfigurationMessage.CommandFinished commandFinished) {
      proposals.finished(commandFinished);
    } else if (message instanceof ConfigurationMessage.PublishRequested request) {
      forwarder.requested(request.publish(), request.reply(), nowMs);
    }
    deliverToSelf(nowMs);
  }

  private void receive(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.RenewRequest renewRequest) {
      leader.renewalRequested(peer, renewRequest, nowMs);
    } else if (message instanceof PeerMessage.RenewAnswer renewAnswer) {
      entry.answered(renewAnswer, nowMs);
    } else if (message instanceof PeerMessage.LeaderView leaderView) {
      entry.notLeader(peer, leaderView.leader(), nowMs);
      forwarder.notLeader(nowMs);
    } else if (message instanceof PeerMessage.PublishForward publishForward) {
      leader.publishForwarded(peer, publishForward, nowMs);
    } else if (message instanceof PeerMessage.PublishReply publishReply) {
      forwarder.replied(publishReply, nowMs);
    }
  }

  @Override
  public void tick(long nowMs) {
    entry.tick(nowMs);
    forwarder.tick(nowMs);
    leader.tick(nowMs);
    deliverToSelf(nowMs);
  }

  @Override
  public long nextTickMs() {
    return Math.min(entry.nextTickMs(), Math.min(forwarder.nextTickMs(), leader.nextTickMs()));
  }

  private void send(InstanceId peer, PeerMessage message) {
    if (peer.equals(self)) {
      toSelf.add(message);
      return;
    }
    if (!peers.offer(new Addressed<>(peer, message))) {
      counters.add(ConfigurationEvent.SEND_DROPPED);
    }
  }

  /** The transport connects different instances only. */
  private void deliverToSelf(long nowMs) {
    while (!toSelf.isEmpty()) {
      receive(self, toSelf.poll(), nowMs);
    }
  }
}
