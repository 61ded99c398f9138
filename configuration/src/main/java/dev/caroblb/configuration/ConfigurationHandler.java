package dev.caroblb.configuration;

import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.PeerEnvelope;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * Logic of the configuration duty of one instance. Every instance is an entry; a replica can also
 * lead the control group.
 */
public final class ConfigurationHandler implements DutyHandler<ConfigurationMessage> {
  private final InstanceId self;
  private final Outlet<PeerEnvelope<PeerMessage>> peers;
  private final ConfigurationCounters counters;
  private final Deque<PeerMessage> toSelf = new ArrayDeque<>();
  private final EntryRole entry;
  private final PublishForwarder forwarder;
  private final PendingProposals proposals;
  private final LeaderRole leader;

  /**
   * Creates the handler of one process.
   *
   * @param self this instance
   * @param incarnation identity of this process, unique across restarts
   * @param replicas instances of the control group, in the order in which they are asked
   * @param outlets destinations of the messages that this duty emits
   * @param proposer proposes commands to the control group
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

  /** Creates a handler with a given chunk size, so that tests need several chunks for few files. */
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
    this.proposals = new PendingProposals(proposer, outlets.self(), counters);
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
      proposals.commandFinished(commandFinished);
    } else if (message instanceof ConfigurationMessage.PublishRequested request) {
      forwarder.publishRequested(request.publish(), request.reply(), nowMs);
    }
    deliverToSelf(nowMs);
  }

  private void receive(InstanceId peer, PeerMessage message, long nowMs) {
    if (message instanceof PeerMessage.RenewRequest renewRequest) {
      leader.renewalRequested(peer, renewRequest, nowMs);
    } else if (message instanceof PeerMessage.RenewAnswer renewAnswer) {
      entry.renewalAnswered(renewAnswer, nowMs);
    } else if (message instanceof PeerMessage.LeaderHint leaderHint) {
      entry.leaderHintReceived(peer, leaderHint.leader(), nowMs);
      forwarder.leaderHintReceived(nowMs);
    } else if (message instanceof PeerMessage.PublishForward publishForward) {
      leader.publishForwarded(peer, publishForward, nowMs);
    } else if (message instanceof PeerMessage.PublishReply publishReply) {
      forwarder.replyReceived(publishReply, nowMs);
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
    if (!peers.offer(new PeerEnvelope<>(peer, message))) {
      counters.add(ConfigurationEvent.SEND_DROPPED);
    }
  }

  /** Delivers messages that this instance sent to itself, which the transport cannot carry. */
  private void deliverToSelf(long nowMs) {
    while (!toSelf.isEmpty()) {
      receive(self, toSelf.poll(), nowMs);
    }
  }
}
