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

/** Runs all consensus groups of an instance with a data folder. */
public final class AgreementHandler implements DutyHandler<AgreementMessage> {
  private static final System.Logger LOGGER = System.getLogger(AgreementHandler.class.getName());

  private final Map<GroupId, ConsensusGroup> groups = new LinkedHashMap<>();
  private final Backlog<JournalMessage> journal;
  private final Backlog<ReplicaFault> faults;
  private final Backlog<ProposalOutcome> replies = new Backlog<>(outcome -> true);
  private final AgreementSettings settings;
  private boolean stopped;
  private boolean leasesWait;
  private long nowMs;

  /**
   * Creates the groups.
   *
   * @param machines what each group replicates
   * @param recovered what the data folder holds; a group without an entry is blank
   * @param memberCodec format of member lists in the log
   * @param startMs monotonic time of the start, from which votes are held back
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
    this.journal = new Backlog<>(outlets.journal());
    this.faults = new Backlog<>(outlets.faults());
    PeerLink peers = new PeerLink(outlets.peers());
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
      answerStopped(message);
      return;
    }
    guard(() -> dispatch(message));
  }

  @Override
  public void batchEnd(long time) {
    nowMs = time;
    guard(this::flush);
    announce();
  }

  @Override
  public void tick(long time) {
    nowMs = time;
    journal.retry();
    replies.retry();
    faults.retry();
    guard(
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
    boolean waiting = leasesWait || !journal.isEmpty() || !replies.isEmpty() || !faults.isEmpty();
    return waiting ? Math.min(due, nowMs + Timing.BACKLOG_RETRY_MS) : due;
  }

  /** State of all groups. */
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

  /** A stopped replica takes part in nothing, but leaves no question without an answer. */
  private void answerStopped(AgreementMessage message) {
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

  /** Offers leases that the outlet refused before; a stopped replica still gives up its own. */
  private void announce() {
    leasesWait = false;
    for (ConsensusGroup group : groups.values()) {
      leasesWait |= !group.announce();
    }
  }

  private Optional<ConsensusGroup> group(GroupId id) {
    return Optional.ofNullable(groups.get(id));
  }

  /** A replica whose state may be wrong must not go on; an exception therefore stops it. */
  private void guard(Runnable step) {
    if (stopped) {
      return;
    }
    try {
      step.run();
    } catch (RuntimeException e) {
      LOGGER.log(System.Logger.Level.ERROR, LogLine.of("agreement.fault").toString(), e);
      stop("a decision failed: " + e + "; report it and restart the replica");
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
