package dev.caroblb.agreement;

import dev.caroblb.agreement.journal.JournalEvent;
import dev.caroblb.agreement.journal.JournalMessage;
import dev.caroblb.core.DutyHandler;
import dev.caroblb.core.GroupId;
import dev.caroblb.core.InstanceId;
import dev.caroblb.core.LogLine;
import dev.caroblb.core.MessageCodec;
import dev.caroblb.core.Outlet;
import dev.caroblb.core.ProposalOutcome;
import dev.caroblb.core.StateMachine;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Runs the consensus groups of an instance that has a data folder. */
public final class AgreementHandler implements DutyHandler<AgreementMessage> {
  private static final System.Logger LOGGER = System.getLogger(AgreementHandler.class.getName());

  private final Map<GroupId, ConsensusGroup> groups = new LinkedHashMap<>();
  private final RetryQueue<JournalMessage> journal;
  private final RetryQueue<ReplicaFault> faults;
  private final RetryQueue<ProposalOutcome> replies = new RetryQueue<>(outcome -> true);
  private final AgreementSettings settings;
  private boolean stopped;
  private boolean leasesPending;
  private long nowMs;

  /**
   * Creates the groups.
   *
   * @param machines state machine that each group replicates
   * @param recovered state read from the data folder; a group that is missing here starts blank
   * @param memberCodec encoding of member lists in the log
   * @param startMs monotonic time of the start; votes are withheld for a while after it
   */
  public AgreementHandler(
      AgreementSettings settings,
      Map<GroupId, StateMachine> machines,
      Map<GroupId, RecoveredGroup> recovered,
      AgreementOutlets outlets,
      MessageCodec<List<Member>> memberCodec,
      RandomGenerator random,
      long startMs) {
    this.settings = settings;
    this.nowMs = startMs;
    this.journal = new RetryQueue<>(outlets.journal());
    this.faults = new RetryQueue<>(outlets.faults());
    PeerSender peers = new PeerSender(outlets.peers());
    for (Map.Entry<GroupId, StateMachine> machine : machines.entrySet()) {
      GroupId group = machine.getKey();
      GroupContext context =
          new GroupContext(
              group,
              settings,
              machine.getValue(),
              memberCodec,
              random,
              peers,
              journal,
              outlets.leases(),
              replies);
      RecoveredGroup stored = recovered.getOrDefault(group, RecoveredGroup.blank());
      groups.put(group, new ConsensusGroup(context, stored, startMs));
    }
  }

  @Override
  public void handle(AgreementMessage message, long time) {
    nowMs = time;
    if (stopped) {
      handleWhenStopped(message);
      return;
    }
    stopOnException(() -> dispatch(message));
  }

  @Override
  public void batchEnd(long time) {
    nowMs = time;
    stopOnException(this::flush);
    announce();
  }

  @Override
  public void tick(long time) {
    nowMs = time;
    journal.retry();
    replies.retry();
    faults.retry();
    stopOnException(
        () -> {
          for (ConsensusGroup group : groups.values()) {
            group.tick(nowMs);
          }
          flush();
        });
    announce();
  }

  @Override
  public long nextTickMs() {
    long due = Long.MAX_VALUE;
    if (!stopped) {
      for (ConsensusGroup group : groups.values()) {
        due = Math.min(due, group.nextTickMs());
      }
    }
    boolean waiting =
        leasesPending || !journal.isEmpty() || !replies.isEmpty() || !faults.isEmpty();
    return waiting ? Math.min(due, nowMs + ConsensusConstants.REFUSED_RETRY_MS) : due;
  }

  /** Returns the status of all groups. */
  public List<GroupStatus> status() {
    List<GroupStatus> status = new ArrayList<>();
    for (ConsensusGroup group : groups.values()) {
      status.add(group.status());
    }
    return status;
  }

  private void dispatch(AgreementMessage message) {
    if (message instanceof AgreementMessage.FromPeer fromPeer) {
      InstanceId peer = fromPeer.received().peer();
      PeerMessage received = fromPeer.received().message();
      if (!settings.accept(peer)) {
        return;
      }
      group(received.group()).ifPresent(group -> group.receive(peer, received, nowMs));
    } else if (message instanceof AgreementMessage.FromJournal fromJournal) {
      dispatch(fromJournal.event());
    } else if (message instanceof AgreementMessage.Propose propose) {
      propose(propose);
    } else if (message instanceof AgreementMessage.QueryStatus query) {
      query.reply().offer(status());
    }
  }

  /** Refuses proposals and answers status queries; a stopped replica ignores everything else. */
  private void handleWhenStopped(AgreementMessage message) {
    if (message instanceof AgreementMessage.Propose propose) {
      refuse(propose.reply());
    } else if (message instanceof AgreementMessage.QueryStatus query) {
      query.reply().offer(status());
    }
  }

  private void dispatch(JournalEvent event) {
    if (event instanceof JournalEvent.Synced synced) {
      group(synced.group()).ifPresent(group -> group.synced(synced.sequence(), nowMs));
    } else if (event instanceof JournalEvent.Failed failed) {
      stop(failed.message());
    }
  }

  private void propose(AgreementMessage.Propose propose) {
    Optional<ConsensusGroup> group = group(propose.group());
    if (group.isEmpty()) {
      refuse(propose.reply());
      return;
    }
    group.get().propose(propose.command(), propose.reply());
  }

  private void refuse(Outlet<ProposalOutcome> reply) {
    replies.send(reply, new ProposalOutcome.NotLeader(Optional.empty()));
  }

  private void flush() {
    for (ConsensusGroup group : groups.values()) {
      group.flush(nowMs);
    }
  }

  /**
   * Offers changed leases, including those that the outlet refused before. Also runs on a stopped
   * replica, so that the end of its own leases is announced.
   */
  private void announce() {
    leasesPending = false;
    for (ConsensusGroup group : groups.values()) {
      leasesPending |= !group.announce();
    }
  }

  private Optional<ConsensusGroup> group(GroupId id) {
    return Optional.ofNullable(groups.get(id));
  }

  /** Stops the replica on any exception, because its state may be inconsistent afterwards. */
  private void stopOnException(Runnable step) {
    if (stopped) {
      return;
    }
    try {
      step.run();
    } catch (RuntimeException e) {
      LOGGER.log(System.Logger.Level.ERROR, LogLine.of("agreement.fault").toString(), e);
      stop(
          "internal error in the consensus protocol: " + e + "; report it and restart the replica");
    }
  }

  private void stop(String message) {
    stopped = true;
    faults.offer(new ReplicaFault(message));
    for (ConsensusGroup group : groups.values()) {
      group.stop();
    }
  }
}
